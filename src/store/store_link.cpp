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
/// While a VM is turned away or gets no answer, a read beside the calls tries the direct way, this
/// long after the last. Load pattern: a leader that alone is cut from the store.
constexpr base::milliseconds direct_interval{400};
/// After a helper was refused too, the others are left alone for this time.
constexpr base::milliseconds help_pause{300};
/// Calls that failed on every way, one after the other, before a part counts as away.
constexpr std::uint32_t failures_until_away = 2;
/// Parts and feeds that were silent, none answering since, before all count as away.
constexpr std::size_t silent_scopes_until_away = 2;
/// Before the read that tries whether a part is served.
constexpr base::milliseconds probe_pause{60};
/// A write that could not be sent for longer than this, because the VM was suspended, is refused:
/// its condition may hold again by now.
constexpr base::milliseconds longest_write_wait{5'000};
constexpr std::uint16_t status_too_many = 429;
constexpr std::uint16_t status_unavailable = 503;

bool turned_away(const link_reply& reply)
{
    return reply.outcome == net::delivery::not_sent || reply.status == status_too_many ||
           reply.status == status_unavailable;
}

bool is_good(const link_reply& reply)
{
    return reply.outcome == net::delivery::answered && !turned_away(reply);
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
        const auto first = static_cast<double>(first_timeout.count()) * seen.backoff;
        return std::min(base::milliseconds{static_cast<std::int64_t>(first)}, longest_timeout);
    }
    const auto wanted = (seen.mean_ms * timeout_factor + timeout_margin_ms) * seen.backoff;
    return std::clamp(base::milliseconds{static_cast<std::int64_t>(wanted)}, shortest_timeout,
                      longest_timeout);
}

bool store_link::served() const
{
    return std::ranges::all_of(scopes_, [](const auto& entry) { return entry.second.served; });
}

std::optional<base::milliseconds> store_link::away(const scope_state& scope) const
{
    if (!scope.failing_since || scope.failures < failures_until_away) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<base::milliseconds>(ports_.time->now() -
                                                          *scope.failing_since);
}

std::optional<base::milliseconds> store_link::away(std::string_view scope) const
{
    if (silent_scopes_.size() >= silent_scopes_until_away) {
        return std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - silent_since_);
    }
    const auto found = scopes_.find(scope);
    return found == scopes_.end() ? std::nullopt : away(found->second);
}

void store_link::note_answer(const link_call& call, const link_reply& reply, base::time_point sent)
{
    auto& seen = call.kind == call_kind::write ? writes_ : reads_;
    if (reply.outcome == net::delivery::lost) {
        ++counters_.unanswered;
        seen.backoff = std::min(seen.backoff * 2.0, most_backoff);
    } else if (reply.outcome == net::delivery::answered) {
        seen.backoff = 1.0;
        if (call.kind != call_kind::follow) {
            const auto took =
                static_cast<double>(base::milliseconds_between(sent, ports_.time->now()));
            seen.mean_ms = seen.mean_ms == 0.0
                               ? std::max(took, 1.0)
                               : seen.mean_ms + latency_weight * (took - seen.mean_ms);
        }
    }
    counters_.refused += turned_away(reply) ? 1 : 0;
    auto& scope = scopes_[call.scope];
    if (scope.served == is_good(reply)) {
        return;
    }
    scope.served = is_good(reply);
    scope.next_direct = ports_.time->now() + direct_interval;
    if (scope.served) {
        log.info("direct_way_regained",
                 {{"scope", call.scope}, {"good_helper", scope.good_helper}});
    } else {
        log.warning("direct_way_lost", {{"scope", call.scope},
                                        {"status", reply.status},
                                        {"delivery", static_cast<int>(reply.outcome)}});
    }
}

void store_link::send_direct(const link_call& call, link_handler handler)
{
    ++counters_.calls;
    const auto sent = ports_.time->now();
    ports_.direct(
        call, call.wait + timeout(call.kind),
        [this, call, sent, handler = std::move(handler), alive = alive_](link_reply reply) {
            if (*alive) {
                note_answer(call, reply, sent);
                handler(std::move(reply));
            }
        });
}

void store_link::note_silence(const std::string& name, const link_reply& reply)
{
    if (reply.outcome == net::delivery::answered) {
        silent_scopes_.clear();
    } else if (reply.outcome == net::delivery::lost) {
        if (silent_scopes_.empty()) {
            silent_since_ = ports_.time->now();
        }
        silent_scopes_.insert(name);
    }
}

void store_link::note_end(const std::string& name, const link_reply& reply)
{
    note_silence(name, reply);
    auto& scope = scopes_[name];
    const auto was_away = away(scope);
    if (is_good(reply)) {
        if (was_away) {
            log.info("part_back", {{"scope", name}, {"away_ms", was_away->count()}});
        }
        scope.failing_since.reset();
        scope.failures = 0;
        return;
    }
    ++scope.failures;
    if (!scope.failing_since) {
        scope.failing_since = ports_.time->now();
    }
    if (!was_away && away(scope)) {
        log.warning("part_away",
                    {{"scope", name}, {"failures", scope.failures}, {"status", reply.status}});
    }
    // One lost answer says little; a read tells it from a part that is gone.
    probe_soon(name);
}

void store_link::probe_soon(const std::string& name)
{
    auto& scope = scopes_[name];
    if (scope.probing) {
        return;
    }
    scope.probing = true;
    ports_.time->after(probe_pause, [this, name, alive = alive_] {
        if (!*alive) {
            return;
        }
        auto call = ports_.probe(name);
        call.scope = name;
        send_either_way(call, [this, name, alive](const link_reply& reply) {
            if (*alive) {
                scopes_[name].probing = false;
                note_end(name, reply);
            }
        });
    });
}

void store_link::send(const link_call& call, link_handler handler)
{
    if (away(call.scope)) {
        // Not sent at all: whoever asked knows at once that nothing has happened.
        probe_soon(call.scope);
        ports_.time->after(base::milliseconds{0}, [handler = std::move(handler)] { handler({}); });
        return;
    }
    if (call.kind == call_kind::write && !silent_scopes_.empty()) {
        ask_first(call, std::move(handler));
        return;
    }
    send_and_note(call, std::move(handler));
}

void store_link::ask_first(const link_call& call, link_handler handler)
{
    auto question = ports_.probe(call.scope);
    question.scope = call.scope;
    send_and_note(question, [this, call, handler = std::move(handler), asked = ports_.time->now(),
                             alive = alive_](const link_reply& reply) {
        if (!*alive) {
            return;
        }
        if (is_good(reply) && ports_.time->now() - asked <= longest_write_wait) {
            send_and_note(call, handler);
        } else {
            handler({});
        }
    });
}

void store_link::send_and_note(const link_call& call, link_handler handler)
{
    const auto scope = call.scope;
    send_either_way(call,
                    [this, scope, handler = std::move(handler), alive = alive_](link_reply reply) {
                        if (*alive) {
                            note_end(scope, reply);
                        }
                        handler(std::move(reply));
                    });
}

void store_link::send_either_way(const link_call& call, link_handler handler)
{
    const auto& scope = scopes_[call.scope];
    if (!scope.served && !choose_helper(scope).empty()) {
        try_direct_way(call.scope);
        help(call, {}, std::move(handler));
        return;
    }
    send_direct(call, [this, call, asked = ports_.time->now(),
                       handler = std::move(handler)](link_reply reply) mutable {
        const bool too_late =
            call.kind == call_kind::write && ports_.time->now() - asked > longest_write_wait;
        // What was turned away certainly had no effect and may go another way.
        if (turned_away(reply) && !too_late && !choose_helper(scopes_[call.scope]).empty()) {
            help(call, std::move(reply), std::move(handler));
        } else {
            handler(std::move(reply));
        }
    });
}

void store_link::try_direct_way(const std::string& name)
{
    auto& scope = scopes_[name];
    if (scope.trying_direct || ports_.time->now() < scope.next_direct) {
        return;
    }
    scope.trying_direct = true;
    auto call = ports_.probe(name);
    call.scope = name;
    // `note_answer` takes the direct way again when this is answered.
    send_direct(call, [this, name, alive = alive_](const link_reply& /*reply*/) {
        if (*alive) {
            auto& tried = scopes_[name];
            tried.trying_direct = false;
            tried.next_direct = ports_.time->now() + direct_interval;
        }
    });
}

std::string store_link::choose_helper(const scope_state& scope) const
{
    if (ports_.time->now() < scope.no_help_before) {
        return {};
    }
    if (!scope.good_helper.empty()) {
        return scope.good_helper;
    }
    const auto known = ports_.helpers();
    return known.empty() ? std::string{} : known.at(scope.next_helper % known.size());
}

void store_link::help(const link_call& call, link_reply refused, link_handler handler)
{
    const auto helper = choose_helper(scopes_[call.scope]);
    if (helper.empty()) {
        handler(std::move(refused));
        return;
    }
    ++counters_.relayed;
    // The helper waits for the store as long as this VM would; its answer takes a moment more.
    constexpr base::milliseconds hop{150};
    ports_.through(helper, call, call.wait + timeout(call.kind) + hop,
                   [this, name = call.scope, helper, handler = std::move(handler),
                    alive = alive_](link_reply reply) {
                       if (!*alive) {
                           return;
                       }
                       auto& scope = scopes_[name];
                       if (is_good(reply)) {
                           scope.good_helper = helper;
                       } else {
                           scope.good_helper.clear();
                           const auto known = ports_.helpers().size();
                           if (known == 0 || ++scope.next_helper % known == 0) {
                               scope.no_help_before = ports_.time->now() + help_pause;
                           }
                       }
                       handler(std::move(reply));
                   });
}

} // namespace poplarstile::store
