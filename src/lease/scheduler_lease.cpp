#include "lease/scheduler_lease.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::lease
{
namespace
{

using nlohmann::json;

std::string text_of(const json& value, const char* name)
{
    return base::member_or(value, name, std::string{});
}

std::uint64_t number_of(const json& value, const char* name)
{
    return base::member_or(value, name, std::uint64_t{0});
}

} // namespace

scheduler_lease::scheduler_lease(const lease_options& options)
    : options_{options}, lease_key_{"lease/" + options.failure_domain},
      heartbeat_key_{"heartbeat/" + options.failure_domain}
{
}

actions scheduler_lease::decide(const event& happened, base::time_point now)
{
    now_ = now;
    out_.clear();
    std::visit([this](const auto& occurred) { handle(occurred); }, happened);
    return std::exchange(out_, {});
}

void scheduler_lease::handle(const time_passed& /*event*/)
{
    const bool due = now_ - asked_at_ >= options_.renewal;
    if (waiting_ || !due || (leaving_ && !held_)) {
        return;
    }
    if (held_) {
        renew();
    } else {
        read();
    }
}

void scheduler_lease::read()
{
    waiting_ = true;
    asked_at_ = now_;
    out_.emplace_back(read_rows{lease_key_, heartbeat_key_});
}

void scheduler_lease::renew()
{
    waiting_ = true;
    asked_at_ = now_;
    const auto operation = next_operation();
    out_.emplace_back(write_rows{
        {operation,
         {{lease_key_, lease_version_}},
         {{heartbeat_key_, {{"vm", options_.vm}, {"epoch", epoch_}, {"operation", operation}}}}}});
}

void scheduler_lease::handle(const rows_read& happened)
{
    waiting_ = false;
    const bool stale = std::exchange(stale_answer_, false);
    if (stale && !held_ && !leaving_) {
        read();
        return;
    }
    if (!happened.readable || held_ || leaving_) {
        return;
    }
    const auto lease = happened.lease.value_or(table::table_row{});
    const auto heartbeat = happened.heartbeat.value_or(table::table_row{});
    holder_ = text_of(lease.value, "vm");
    epoch_ = number_of(lease.value, "epoch");
    const bool changed = lease.version != lease_version_ || heartbeat.version != heartbeat_version_;
    lease_version_ = lease.version;
    heartbeat_version_ = heartbeat.version;
    const bool own = text_of(lease.value, "operation").starts_with(operation_prefix());
    if (own && holder_ == options_.vm && epoch_ > last_held_epoch_) {
        // A takeover of this run took effect and its answer was lost.
        gain();
        return;
    }
    if (changed) {
        heartbeat_seen_ = now_;
        holder_gone_ = false;
        const bool first_look = holder_.empty();
        if (!first_look) {
            return;
        }
    }
    const bool vacant = holder_.empty();
    if (vacant || now_ - heartbeat_seen_ >= patience()) {
        take_over();
    }
}

void scheduler_lease::take_over()
{
    waiting_ = true;
    asked_at_ = now_;
    takeover_ = next_operation();
    out_.emplace_back(write_rows{
        {takeover_,
         {{lease_key_, lease_version_}, {heartbeat_key_, heartbeat_version_}},
         {{lease_key_, {{"vm", options_.vm}, {"epoch", epoch_ + 1}, {"operation", takeover_}}},
          {heartbeat_key_,
           {{"vm", options_.vm}, {"epoch", epoch_ + 1}, {"operation", takeover_}}}}}});
}

void scheduler_lease::handle(const write_answered& happened)
{
    waiting_ = false;
    const auto state = happened.result.state;
    const bool stale = std::exchange(stale_answer_, false);
    if (held_ && stale && state != table::commit_state::conflict) {
        renew();
        return;
    }
    doubtful_ = false;
    if (stale && !held_) {
        // A takeover answered from before a pause may have been taken over since; a read tells.
        takeover_.clear();
        read();
        return;
    }
    if (held_) {
        if (state == table::commit_state::conflict) {
            lose("another VM holds the lease");
        }
        return;
    }
    if (takeover_.empty()) {
        return;
    }
    switch (state) {
    case table::commit_state::committed:
        ++epoch_;
        holder_ = options_.vm;
        lease_version_ = happened.result.version;
        gain();
        return;
    case table::commit_state::conflict:
    case table::commit_state::not_applied:
        takeover_.clear();
        return;
    case table::commit_state::unknown:
        // The next read settles it.
        return;
    }
}

void scheduler_lease::handle(const deposed& /*event*/)
{
    if (held_) {
        lose("a newer holder was seen");
    }
}

void scheduler_lease::handle(const vm_gone& happened)
{
    if (held_ || happened.vm != holder_) {
        return;
    }
    holder_gone_ = true;
    if (!waiting_ && !leaving_) {
        read();
    }
}

void scheduler_lease::handle(const paused& /*event*/)
{
    stale_answer_ = waiting_;
    if (!held_) {
        return;
    }
    doubtful_ = true;
    if (!waiting_) {
        renew();
    }
}

void scheduler_lease::handle(const leaving& /*event*/)
{
    leaving_ = true;
    if (!held_) {
        return;
    }
    const auto operation = next_operation();
    out_.emplace_back(
        write_rows{{operation,
                    {{lease_key_, lease_version_}},
                    {{lease_key_, {{"vm", ""}, {"epoch", epoch_}, {"operation", operation}}}}}});
    lose("this VM is leaving");
}

void scheduler_lease::gain()
{
    held_ = true;
    doubtful_ = false;
    holder_gone_ = false;
    last_held_epoch_ = epoch_;
    takeover_.clear();
    out_.emplace_back(gained{epoch_ * workers::token_ranks_per_epoch, lease_key_, lease_version_});
}

base::milliseconds scheduler_lease::patience() const
{
    // A holder that renews within two intervals is alive, whatever membership believes.
    return holder_gone_ ? std::min(options_.timeout, options_.renewal * 2) : options_.timeout;
}

void scheduler_lease::lose(std::string reason)
{
    held_ = false;
    doubtful_ = false;
    holder_.clear();
    takeover_.clear();
    out_.emplace_back(lost{std::move(reason)});
}

std::string scheduler_lease::next_operation()
{
    return fmt::format("{}{}", operation_prefix(), next_number_++);
}

std::string scheduler_lease::operation_prefix() const
{
    return fmt::format("{}-{}-l", options_.vm, options_.run_id);
}

} // namespace poplarstile::lease
