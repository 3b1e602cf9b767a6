#include "catalog/configuration_cache.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::catalog
{
namespace
{

constexpr base::event_logger log{"configuration"};
/// Shorter than the bound in which a configuration has to be in force, so that a call which went
/// silent is found in time.
constexpr base::milliseconds follow_wait{2'000};
constexpr base::milliseconds retry{150};

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
    read();
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
    source_.read([this, alive = alive_, asked = time_.now()](const configuration_reply& reply) {
        if (!*alive) {
            return;
        }
        take(reply, asked, base::milliseconds{0});
        if (reply.outcome == store::call_outcome::done) {
            follow();
            return;
        }
        time_.after(retry, [this, alive] {
            if (*alive) {
                read();
            }
        });
    });
}

void configuration_cache::follow()
{
    source_.follow(position_, follow_wait,
                   [this, alive = alive_, asked = time_.now()](const configuration_reply& reply) {
                       if (!*alive) {
                           return;
                       }
                       take(reply, asked, follow_wait);
                       if (reply.outcome == store::call_outcome::done) {
                           follow();
                       } else if (reply.outcome == store::call_outcome::expired) {
                           log.warning("history_gone", {{"after", position_}});
                           read();
                       } else {
                           // The feed may have missed what a read shows.
                           time_.after(retry, [this, alive] {
                               if (*alive) {
                                   read();
                               }
                           });
                       }
                   });
}

void configuration_cache::take(const configuration_reply& reply, base::time_point asked,
                               base::milliseconds wait)
{
    const bool answered = reply.outcome == store::call_outcome::done;
    if (answered != store_answers_ && reply.outcome != store::call_outcome::expired) {
        store_answers_ = answered;
        if (answered) {
            log.info("store_regained", {{"version", stored_.version}});
        } else {
            log.warning("store_lost", {{"version", stored_.version}, {"age_ms", age().count()}});
        }
    }
    if (!answered) {
        return;
    }
    position_ = std::max(position_, reply.position);
    // A call that was held back to the end was answered after its wait, and knows all until then.
    const auto proven = time_.now() - asked >= wait ? asked + wait : asked;
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, proven) : proven;
    if (reply.newest) {
        adopt(*reply.newest, "store");
    }
}

void configuration_cache::receive_from_peer(const stored_configuration& told,
                                            base::milliseconds age)
{
    if (told.version > stored_.version && !adopt(told, "another VM")) {
        return;
    }
    if (told.version >= stored_.version && age < base::milliseconds::max()) {
        const auto proven = time_.now() - age;
        confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, proven) : proven;
    }
}

bool configuration_cache::adopt(const stored_configuration& newer, std::string_view origin)
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
