#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "planning/eviction.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <vector>

/// Stops of work on workers that are about to leave, so that it starts again elsewhere.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"evictions"};
/// A stop is decided at a tick (100 ms), waits for a connection on a loaded link, and the end that
/// it causes has to be listed before the worker has left.
constexpr base::milliseconds eviction_margin{400};

/// The same for all members of a gang.
std::tuple<std::string, std::uint32_t, std::uint32_t, std::uint32_t>
key_of(const live_run& run, const batch::step_spec& spec)
{
    return {run.job, run.ref.occurrence, run.ref.step, spec.gang ? 0 : run.ref.index};
}

/// True while the run is the newest of a task that is to be done.
bool is_evictable(const batch::job& job, const live_run& run)
{
    const auto& task = job.task(run.ref);
    const bool in_progress = task.phase == batch::task_phase::placed && task.run == run.run;
    return in_progress && job.open() && !job.spec_of(run.ref.step).long_running;
}

planning::run_progress progress_of(const live_run& run, base::milliseconds run_time)
{
    planning::run_progress progress;
    // The run of an earlier leader counts as accepted when its worker first listed it.
    const bool started_here = run.sends > 0;
    const bool accepted = run.order == order_state::accepted;
    if (started_here && accepted) {
        progress.began = run.accepted_at;
    }
    progress.resumed = !started_here || !run.start_checkpoint.empty();
    if (run.listed) {
        progress.first = planning::listed_progress{run.first_percent, run.first_listed_at};
    }
    if (run.percent > 0) {
        progress.newest = planning::listed_progress{run.percent, run.percent_changed_at};
    }
    progress.run_time = run_time;
    return progress;
}

} // namespace

struct leader::evictable_unit {
    struct member {
        worker_state* worker = nullptr;
        live_run* run = nullptr;
    };
    std::vector<member> members{};
    std::vector<planning::running_member> running{};
    /// One of its runs is being stopped already.
    bool ending = false;
};

base::milliseconds leader::expected_run_time(const job_entry& entry, const live_run& run)
{
    return entry.state.spec_of(run.ref.step).estimate;
}

std::optional<base::time_point> leader::leaves_at(const worker_state& worker) const
{
    if (!worker.facts.draining || !worker.facts.remaining) {
        return std::nullopt;
    }
    // A registration that the feed did not bring may have been written up to one heartbeat before.
    const auto written = worker.written_after ? worker.registered_at
                                              : worker.registered_at - options_.worker_heartbeat;
    return written + *worker.facts.remaining;
}

void leader::evict_from_leaving_workers()
{
    if (!options_.evict_from_leaving_workers || lost_) {
        return;
    }
    evictable_units units;
    for (const auto& [id, worker] : workers_) {
        if (!leaves_at(*worker)) {
            continue;
        }
        for (const auto& [task, run] : worker->runs) {
            const auto entry = jobs_.find(run.job);
            // The start of a run that is not accepted is withdrawn when its worker drains.
            const bool accepted = run.order == order_state::accepted;
            if (accepted && entry != jobs_.end() && is_evictable(entry->second.state, run)) {
                units[key_of(run, entry->second.state.spec_of(run.ref.step))];
            }
        }
    }
    if (units.empty()) {
        return;
    }
    collect_evictable(units);
    for (const auto& [key, unit] : units) {
        evict_when_due(unit);
    }
}

void leader::collect_evictable(evictable_units& units)
{
    const auto now = ports_.time->now();
    for (auto& [id, worker] : workers_) {
        for (auto& [task, run] : worker->runs) {
            const auto entry = jobs_.find(run.job);
            if (entry == jobs_.end() || !is_evictable(entry->second.state, run)) {
                continue;
            }
            const auto found = units.find(key_of(run, entry->second.state.spec_of(run.ref.step)));
            if (found == units.end()) {
                continue;
            }
            auto& unit = found->second;
            const auto progress = progress_of(run, expected_run_time(entry->second, run));
            auto& member = unit.running.emplace_back();
            member.rest = planning::expected_rest(progress, now);
            if (run.order == order_state::accepted) {
                member.leaves_at = leaves_at(*worker);
            }
            unit.members.push_back({worker.get(), &run});
            unit.ending = unit.ending || run.stopping != stop_reason::none;
        }
    }
}

void leader::evict_when_due(const evictable_unit& unit)
{
    if (unit.ending) {
        return;
    }
    const auto now = ports_.time->now();
    const auto& first = *unit.members.front().run;
    const auto& spec = jobs_.at(first.job).state.spec_of(first.ref.step);
    const auto due = planning::eviction_time({unit.running, spec.checkpoints, spec.long_running},
                                             {options_.stop_time, eviction_margin}, now);
    if (!due || now < *due) {
        return;
    }
    for (std::size_t index = 0; index < unit.members.size(); ++index) {
        const auto& member = unit.members.at(index);
        const auto& seen = unit.running.at(index);
        if (seen.leaves_at) {
            log.keep("run_evicted",
                     {{"job", first.job},
                      {"step", first.ref.step},
                      {"index", member.run->ref.index},
                      {"run", first.run},
                      {"worker", member.worker->facts.life.worker},
                      {"members", unit.members.size()},
                      {"checkpoints", spec.checkpoints},
                      {"leaves_in_ms", base::milliseconds_between(now, *seen.leaves_at)},
                      {"rest_ms", seen.rest ? seen.rest->count() : -1}});
        }
        stop_run(*member.worker, *member.run, stop_reason::evicted);
    }
}

} // namespace poplarstile::control
