#include "catalog/configuration_cache.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::catalog
{
namespace
{

constexpr base::event_logger log{"configuration"};
/// Shorter than the time within which a new configuration has to be active, so that a call which
/// never gets a reply is detected in time.
constexpr base::milliseconds long_poll_timeout{2'000};
constexpr base::milliseconds retry_interval{150};
constexpr base::milliseconds watch_interval{200};
/// A VM whose timers were not run for longer counts as suspended.
constexpr base::milliseconds longest_stall{1'000};
/// Within this time after a suspension a VM has read what waited for it.
constexpr base::milliseconds catch_up_time{1'000};

} // namespace

configuration_cache::configuration_cache(const configuration_source& source,
                                         const base::timers& time)
    : source_{source}, time_{time}
{
}

configuration_cache::~configuration_cache()
{
    *alive_ = false;
}

void configuration_cache::start()
{
    watch_for_suspension();
    read();
}

void configuration_cache::watch_for_suspension()
{
    const auto now = time_.now();
    if (running_at_ && now - *running_at_ > longest_stall) {
        suspended_until_ = now;
    }
    running_at_ = now;
    time_.after(watch_interval, [this, alive = alive_] {
        if (*alive) {
            watch_for_suspension();
        }
    });
}

bool configuration_cache::just_suspended() const
{
    const auto now = time_.now();
    return (running_at_ && now - *running_at_ > longest_stall) ||
           (suspended_until_ && now - *suspended_until_ <= catch_up_time);
}

base::milliseconds configuration_cache::age() const
{
    if (!confirmed_at_) {
        return base::milliseconds::max();
    }
    return std::chrono::duration_cast<base::milliseconds>(time_.now() - *confirmed_at_);
}

void configuration_cache::read()
{
    source_.read(
        [this, alive = alive_, requested_at = time_.now()](const configuration_reply& reply) {
            if (!*alive) {
                return;
            }
            apply_reply(reply, requested_at, base::milliseconds{0});
            if (reply.outcome == store::call_outcome::done) {
                follow();
                return;
            }
            time_.after(retry_interval, [this, alive] {
                if (*alive) {
                    read();
                }
            });
        });
}

void configuration_cache::read_again(std::function<void(bool served)> on_reply)
{
    source_.read([this, alive = alive_, requested_at = time_.now(),
                  on_reply = std::move(on_reply)](const configuration_reply& reply) {
        if (*alive) {
            apply_reply(reply, requested_at, base::milliseconds{0});
            on_reply(reply.outcome == store::call_outcome::done);
        }
    });
}

void configuration_cache::follow()
{
    source_.follow(
        position_, long_poll_timeout,
        [this, alive = alive_, requested_at = time_.now()](const configuration_reply& reply) {
            if (!*alive) {
                return;
            }
            apply_reply(reply, requested_at, long_poll_timeout);
            if (reply.outcome == store::call_outcome::done) {
                follow();
            } else if (reply.outcome == store::call_outcome::expired) {
                log.warning("history_gone", {{"after", position_}});
                read();
            } else {
                // The change feed may have missed a version that a full read returns.
                time_.after(retry_interval, [this, alive] {
                    if (*alive) {
                        read();
                    }
                });
            }
        });
}

void configuration_cache::apply_reply(const configuration_reply& reply,
                                      base::time_point requested_at, base::milliseconds wait)
{
    const bool available = reply.outcome == store::call_outcome::done;
    if (available != store_available_ && reply.outcome != store::call_outcome::expired) {
        store_available_ = available;
        if (available) {
            log.info("store_regained", {{"version", stored_.version}});
        } else {
            log.warning("store_lost", {{"version", stored_.version}, {"age_ms", age().count()}});
        }
    }
    if (!available) {
        return;
    }
    position_ = std::max(position_, reply.position);
    // A long poll without a change was answered after its wait, so the reply covers every version
    // accepted until then. One with a change was answered at any time, however late it is read.
    const bool waited = reply.unchanged && time_.now() - requested_at >= wait;
    const auto confirmed = waited ? requested_at + wait : requested_at;
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, confirmed) : confirmed;
    if (reply.drains) {
        drains_.apply(*reply.drains, time_.now(), confirmed);
    }
    if (reply.newest) {
        activate(*reply.newest, "store");
    }
}

void configuration_cache::receive_from_peer(const stored_configuration& received,
                                            base::milliseconds age)
{
    if (received.version > stored_.version && !activate(received, "another VM")) {
        return;
    }
    if (received.version >= stored_.version && age < base::milliseconds::max() &&
        !just_suspended()) {
        const auto confirmed = time_.now() - age;
        confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, confirmed) : confirmed;
    }
}

bool configuration_cache::activate(const stored_configuration& newer, std::string_view origin)
{
    if (newer.version <= stored_.version) {
        return true;
    }
    auto decoded = source_.decode(newer.document);
    if (!decoded.has_value()) {
        log.error("unreadable", {{"version", newer.version}, {"detail", decoded.error().detail}});
        return false;
    }
    if (current_ && decoded.value().version < current_->version()) {
        log.error("older_than_current",
                  {{"version", decoded.value().version}, {"current", current_->version()}});
        return false;
    }
    stored_ = newer;
    current_ = std::make_shared<const catalog>(std::move(decoded).value());
    log.info("in_force", {{"version", current_->version()},
                          {"store_version", stored_.version},
                          {"origin", origin},
                          {"queues", current_->parts().queues.size()},
                          {"workspaces", current_->parts().workspaces.size()}});
    if (on_change) {
        on_change();
    }
    return true;
}

} // namespace poplarstile::catalog
