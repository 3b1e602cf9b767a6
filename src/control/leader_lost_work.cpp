#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "control/lost_work.hpp"

#include <algorithm>
#include <numeric>

/// What the leader counts and logs of lost work.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"losses"};
constexpr base::milliseconds report_interval{5'000};

} // namespace

void leader::note_checkpoint(job_entry& entry, const batch::task_ref& ref) const
{
    // A checkpoint of one member is valid for the whole gang.
    if (entry.state.spec_of(ref.step).gang) {
        entry.gang_saved_at[{ref.occurrence, ref.step}] = ports_.time->now();
    }
}

void leader::count_lost_work(job_entry& entry, const worker_state& worker, const live_run& run,
                             batch::run_end how, std::string_view checkpoint)
{
    const auto& spec = entry.state.spec_of(run.ref.step);
    const auto cause = loss_cause_of(run, how);
    if (!cause || spec.long_running) {
        return;
    }
    run_ending ending{how, ports_.time->now(), worker.answered_at, false};
    std::optional<base::time_point> saved_at;
    if (spec.checkpoints) {
        ending.saved_at_end = !checkpoint.empty() && checkpoint != run.checkpoint;
        if (ending.saved_at_end) {
            note_checkpoint(entry, run.ref);
        }
        saved_at = run.saved_at;
        const auto of_gang = entry.gang_saved_at.find({run.ref.occurrence, run.ref.step});
        if (of_gang != entry.gang_saved_at.end()) {
            saved_at = std::max(*saved_at, of_gang->second);
        }
    }
    counters_.lost_core_seconds.at(static_cast<std::size_t>(*cause)) +=
        lost_work_of(run, ending, saved_at);
}

void leader::report_lost_work()
{
    const auto now = ports_.time->now();
    if (now - lost_work_reported_at_ < report_interval) {
        return;
    }
    lost_work_reported_at_ = now;
    const auto& counted = counters_.lost_core_seconds;
    const auto since_last = [&](loss_cause cause) {
        const auto index = static_cast<std::size_t>(cause);
        return counted.at(index) - reported_lost_work_.at(index);
    };
    if (counted == reported_lost_work_) {
        return;
    }
    log.keep("work_lost", {{"preempted", since_last(loss_cause::preempted)},
                           {"evicted", since_last(loss_cause::evicted)},
                           {"gang_aborted", since_last(loss_cause::gang_aborted)},
                           {"worker_lost", since_last(loss_cause::worker_lost)},
                           {"cancelled", since_last(loss_cause::cancelled)},
                           {"failed", since_last(loss_cause::failed)},
                           {"other", since_last(loss_cause::other)},
                           {"total", std::accumulate(counted.begin(), counted.end(), 0.0)}});
    reported_lost_work_ = counted;
}

} // namespace poplarstile::control
