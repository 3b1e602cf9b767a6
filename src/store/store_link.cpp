#include "store/store_link.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::store
{
namespace
{

constexpr base::event_logger log{"store"};
constexpr base::milliseconds shortest_timeout{250};
constexpr base::milliseconds longest_timeout{2'000};
constexpr base::milliseconds first_timeout{600};
/// A time-out is this many times the mean time of an answer, and a little more.
constexpr double timeout_factor = 5.0;
constexpr double timeout_margin_ms = 60.0;
constexpr double latency_weight = 0.2;
constexpr double most_backoff = 4.0;
/// While refused, one call in this time tries the direct way.
constexpr base::milliseconds probe_interval{400};
/// After a helper was refused too, the others are left alone for this time.
constexpr base::milliseconds help_pause{300};
/// Calls that failed on every way, one after the other, before the store counts as away.
constexpr std::uint32_t failures_until_away = 2;
/// Before the read that tries whether the store serves.
constexpr base::milliseconds probe_pause{60};
constexpr std::uint16_t status_too_many = 429;
constexpr std::uint16_t status_unavailable = 503;

bool turned_away(const link_reply& reply)
{
    return reply.outcome == net::delivery::not_sent || reply.status == status_too_many ||
           reply.status == status_unavailable;
}

} // namespace

store_link::store_link(link_ports ports) : ports_{std::move(ports)} {}

store_link::~store_link()
{
    *alive_ = false;
}

base::milliseconds store_link::timeout(call_kind kind) const
{
    const auto& seen = kind == call_kind::write ? writes_ : reads_;
    if (seen.mean_ms == 0.0) {
        return std::min(base::milliseconds{static_cast<std::int64_t>(
                            static_cast<double>(first_timeout.count()) * seen.backoff)},
                        longest_timeout);
    }
    const auto wanted = (seen.mean_ms * timeout_factor + timeout_margin_ms) * seen.backoff;
    return std::clamp(base::milliseconds{static_cast<std::int64_t>(wanted)}, shortest_timeout,
                      longest_timeout);
}

void store_link::note(const link_call& call, const link_reply& reply, base::time_point sent)
{
    auto& seen = call.kind == call_kind::write ? writes_ : reads_;
    const bool answered = reply.outcome == net::delivery::answered;
    if (!answered && reply.outcome == net::delivery::lost) {
        ++counters_.unanswered;
        seen.backoff = std::min(seen.backoff * 2.0, most_backoff);
    }
    if (answered) {
        seen.backoff = 1.0;
        if (call.kind != call_kind::follow) {
            const auto took = static_cast<double>(
                base::milliseconds_between(sent, ports_.time->now()));
            seen.mean_ms = seen.mean_ms == 0.0
                               ? std::max(took, 1.0)
                               : seen.mean_ms + latency_weight * (took - seen.mean_ms);
        }
    }
    note_served(answered && !turned_away(reply), reply);
}

void store_link::note_served(bool served, const link_reply& reply)
{
    if (served == served_) {
        return;
    }
    served_ = served;
    next_probe_ = ports_.time->now() + probe_interval;
    if (served) {
        log.info("direct_way_regained", {{"good_helper", good_helper_}});
    } else {
        log.warning("direct_way_lost", {{"status", reply.status},
                                        {"delivery", static_cast<int>(reply.outcome)}});
    }
}

void store_link::send_direct(const link_call& call, link_handler handler)
{
    ++counters_.calls;
    const auto sent = ports_.time->now();
    ports_.direct(call, call.wait + timeout(call.kind),
                  [this, call, sent, handler = std::move(handler),
                   alive = alive_](link_reply reply) {
                      if (!*alive) {
                          return;
                      }
                      note(call, reply, sent);
                      counters_.refused += turned_away(reply) ? 1 : 0;
                      handler(std::move(reply));
                  });
}

std::optional<base::milliseconds> store_link::away() const
{
    if (!failing_since_ || failures_ < failures_until_away) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - *failing_since_);
}

void store_link::note_end(const link_reply& reply)
{
    const bool good = reply.outcome == net::delivery::answered && !turned_away(reply);
    const bool was_away = away().has_value();
    if (good) {
        if (was_away) {
            log.info("store_back", {{"away_ms", away()->count()}});
        }
        failing_since_.reset();
        failures_ = 0;
        return;
    }
    ++failures_;
    if (!failing_since_) {
        failing_since_ = ports_.time->now();
    }
    if (!was_away && away()) {
        log.warning("store_away", {{"failures", failures_}, {"status", reply.status}});
    }
    // One lost answer says little; a read tells it from a store that is gone.
    probe_soon();
}

void store_link::probe_soon()
{
    if (probing_) {
        return;
    }
    probing_ = true;
    ports_.time->after(probe_pause, [this, alive = alive_] {
        if (*alive) {
            probe();
        }
    });
}

void store_link::probe()
{
    send_either_way(ports_.probe, [this, alive = alive_](const link_reply& reply) {
        if (*alive) {
            probing_ = false;
            note_end(reply);
        }
    });
}

void store_link::send(link_call call, link_handler handler)
{
    if (away()) {
        // Not sent at all: whoever asked knows at once that nothing has happened.
        ports_.time->after(base::milliseconds{0},
                           [handler = std::move(handler)] { handler({}); });
        return;
    }
    auto told = [this, handler = std::move(handler), alive = alive_](link_reply reply) {
        if (*alive) {
            note_end(reply);
        }
        handler(std::move(reply));
    };
    send_either_way(call, std::move(told));
}

void store_link::send_either_way(const link_call& call, link_handler handler)
{
    const auto now = ports_.time->now();
    const bool direct = served_ || now >= next_probe_ || choose_helper().empty();
    if (!direct) {
        help(call, {}, std::move(handler));
        return;
    }
    if (!served_) {
        next_probe_ = now + probe_interval;
    }
    send_direct(call, [this, call, handler = std::move(handler),
                       alive = alive_](link_reply reply) mutable {
        // What was turned away certainly had no effect and may go another way.
        if (*alive && turned_away(reply) && !choose_helper().empty()) {
            help(call, std::move(reply), std::move(handler));
        } else {
            handler(std::move(reply));
        }
    });
}

std::string store_link::choose_helper()
{
    if (ports_.time->now() < no_help_before_) {
        return {};
    }
    if (!good_helper_.empty()) {
        return good_helper_;
    }
    const auto known = ports_.helpers();
    return known.empty() ? std::string{} : known.at(next_helper_ % known.size());
}

void store_link::help(const link_call& call, link_reply refused, link_handler handler)
{
    const auto helper = choose_helper();
    if (helper.empty()) {
        handler(std::move(refused));
        return;
    }
    ++counters_.relayed;
    // The helper waits for the store as long as this VM would; its answer takes a moment more.
    constexpr base::milliseconds hop{150};
    ports_.through(helper, call, call.wait + timeout(call.kind) + hop,
                   [this, helper, handler = std::move(handler), alive = alive_](link_reply reply) {
                       if (!*alive) {
                           return;
                       }
                       const bool good =
                           reply.outcome == net::delivery::answered && !turned_away(reply);
                       if (good) {
                           good_helper_ = helper;
                       } else {
                           good_helper_.clear();
                           const auto known = ports_.helpers().size();
                           if (known == 0 || ++next_helper_ % known == 0) {
                               no_help_before_ = ports_.time->now() + help_pause;
                           }
                       }
                       handler(std::move(reply));
                   });
}

} // namespace poplarstile::store
