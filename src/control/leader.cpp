#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leader"};
constexpr base::milliseconds tick_interval{100};

} // namespace

std::size_t parts_that_extend_leases(std::size_t parts)
{
    return (parts + 1) / 2;
}

std::string_view name_of(leader_span span)
{
    static constexpr std::array<std::string_view, 4> names{"job_until_placed", "job_until_end",
                                                           "takeover", "plan"};
    return names.at(static_cast<std::size_t>(span));
}

leader::leader(leader_ports ports, leader_options options, store::lease_record lease,
               std::size_t first, store::row_version version, base::time_point sent)
    : ports_{std::move(ports)}, options_{std::move(options)},
      store_clock_{std::make_shared<store::store_clock_reading>()}, rows_{store::with_clock_reading(
                                                                        *ports_.rows, *ports_.time,
                                                                        store_clock_)},
      epoch_{lease.epoch}, lease_{lease}, first_part_{first},
      parts_(options_.parts.size()), began_{ports_.time->now()}, pacing_{options_.link_kbit},
      drain_reading_{options_.domain_drain_time, began_}
{
    if (options_.learned_run_times) {
        run_times_ = std::make_unique<estimation::run_time_model>();
    }
    open_part(first, std::move(lease), version, sent);
}

leader::~leader()
{
    *alive_ = false;
}

void leader::start()
{
    log.keep("taking_over", {{"epoch", epoch_}, {"parts", parts_.size()}});
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (part == first_part_) {
            read_runs(part, {});
        } else {
            acquire_part(part);
        }
    }
    read_workers();
    read_drains();
    schedule_tick();
}

void leader::hand_back(std::function<void()> on_done)
{
    log.keep("handing_back", {{"epoch", epoch_}, {"open_jobs", jobs_.size()}});
    handing_back_ = true;
    // Waits only for the first part's row, which is the one that a successor acquires first.
    for (std::size_t part = 0; part < parts_.size(); ++part) {
        if (parts_.at(part).journal && part != first_part_) {
            parts_.at(part).journal->hand_back({});
        }
    }
    parts_.at(first_part_).journal->hand_back(std::move(on_done));
}

base::time_point leader::confirmed_at() const
{
    auto newest = base::time_point::min();
    for (const auto& part : parts_) {
        if (part.journal) {
            newest = std::max(newest, part.journal->confirmed_at());
        }
    }
    return newest;
}

std::optional<base::time_point> leader::lease_authority_at() const
{
    std::vector<base::time_point> confirmed;
    for (const auto& part : parts_) {
        if (part.journal) {
            confirmed.push_back(part.journal->confirmed_at());
        }
    }
    const auto needed = parts_that_extend_leases(parts_.size());
    if (confirmed.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(confirmed, std::greater{});
    return confirmed.at(needed - 1);
}

store::row_version leader::lease_version() const
{
    return parts_.at(first_part_).journal->version();
}

leader_counters leader::counters() const
{
    auto counted = counters_;
    for (const auto& part : parts_) {
        if (part.journal) {
            counted.commits += part.journal->counters().commits;
            counted.commit_retries += part.journal->counters().retries;
            counted.commit_backlog += part.journal->backlog();
        }
    }
    return counted;
}

std::vector<cluster::job_view> leader::views() const
{
    std::vector<cluster::job_view> views;
    views.reserve(jobs_.size());
    for (const auto& [id, entry] : jobs_) {
        const auto& accepted = entry.state.accepted();
        views.push_back({id, accepted.policy.queue, accepted.workspace, entry.published_status});
    }
    return views;
}

std::vector<cluster::queue_load> leader::loads()
{
    std::map<std::string_view, std::uint32_t> waiting;
    for (const auto& [id, entry] : jobs_) {
        auto& count = waiting[entry.state.accepted().policy.queue];
        count += entry.state.open() && !entry.state.started() ? 1 : 0;
    }
    std::vector<cluster::queue_load> loads;
    loads.reserve(waiting.size());
    for (const auto& [queue, count] : waiting) {
        loads.push_back({std::string{queue}, count, 0});
    }
    add_shortages(loads);
    return loads;
}

void leader::report_span(leader_span span, base::milliseconds took) const
{
    if (ports_.on_span) {
        ports_.on_span(span, took);
    }
}

base::milliseconds leader::age_of(const batch::job& accepted) const
{
    const auto age = ports_.time->unix_ms() - accepted.accepted().accepted_ms;
    return base::milliseconds{std::max<std::int64_t>(age, 0)};
}

void leader::schedule_tick()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            schedule_tick();
        }
    });
}

void leader::tick()
{
    if (!active_) {
        return;
    }
    update_drains();
    std::vector<std::string> worker_ids;
    worker_ids.reserve(workers_.size());
    for (const auto& [id, worker] : workers_) {
        worker_ids.push_back(id);
    }
    for (const auto& id : worker_ids) {
        const auto found = workers_.find(id);
        if (found != workers_.end()) {
            update_worker(*found->second);
        }
    }
    evict_from_leaving_workers();
    report_lost_work();
    settle_ends();
    remove_expired_jobs();
    remove_unneeded_cancels();
    report_waiting_work();
    follow_run_times();
    schedule_plan();
}

} // namespace poplarstile::control
