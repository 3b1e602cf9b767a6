#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <utility>

/// Ends of runs, and what is known of runs that end without the worker's own word.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"orders"};

} // namespace

void leader::end_run(worker_state& worker, const std::string& task, batch::run_end how,
                     std::string_view checkpoint, run_evidence evidence)
{
    const auto found = worker.runs.find(task);
    if (found == worker.runs.end()) {
        return;
    }
    const auto run = std::move(found->second);
    worker.runs.erase(found);
    const auto now = ports_.time->now();
    if (how == batch::run_end::lost) {
        ++counters_.lost_runs;
        ++counters_.lost_runs_by_evidence.at(static_cast<std::size_t>(evidence));
        log_lost_run(worker, task, run, evidence);
        note_given_up(worker, task, run, evidence);
    }
    log.keep("run_ended", {{"job", run.job},
                           {"task", task},
                           {"run", run.run},
                           {"worker", worker.facts.life.worker},
                           {"how", batch::name_of(how)},
                           {"cause", name_of(evidence)},
                           {"stopping", name_of(run.stopping)},
                           {"ran_ms", run.order == order_state::accepted
                                          ? base::milliseconds_between(run.accepted_at, now)
                                          : 0}});
    const auto entry = jobs_.find(run.job);
    schedule_plan();
    if (entry == jobs_.end()) {
        return;
    }
    auto& job = entry->second;
    const bool urgent = job.state.accepted().policy.priority == planning::urgent_priority;
    if (urgent && how == batch::run_end::done) {
        worker.urgent_hold.add(run.need, now);
    }
    const bool was_open = job.state.open();
    if (run_times_ && how == batch::run_end::done && evidence == run_evidence::listed) {
        learn_run_time(worker, run, job.state);
    }
    // The checkpoint that a stop has saved at one member of a gang is newer than those that the
    // others have listed.
    const auto of_gang = job.gang_saved_at.find({run.ref.occurrence, run.ref.step});
    const bool saved_by_other_member = run.stopping == stop_reason::evicted &&
                                       of_gang != job.gang_saved_at.end() &&
                                       of_gang->second > run.saved_at;
    const auto listed =
        saved_by_other_member ? std::string_view{} : std::string_view{run.checkpoint};
    const auto saved = checkpoint.empty() ? listed : checkpoint;
    if (!job.state.end_run(run.ref, run.run, how, saved)) {
        // The run is a member of a gang that has already completed.
        return;
    }
    mark_dirty(run.job);
    if (how == batch::run_end::done) {
        note_work_done(job.state, run.ref);
    }
    count_lost_work(job, worker, run, how, checkpoint);
    if (how != batch::run_end::done && job.state.spec_of(run.ref.step).gang) {
        stop_gang_members(job, run.ref, run.run);
    }
    if (was_open && job.state.failed()) {
        stop_failed_job(job, task, failure_cause::failed_runs);
    }
}

void leader::log_lost_run(const worker_state& worker, const std::string& task, const live_run& run,
                          run_evidence evidence) const
{
    constexpr std::int64_t unknown = -1;
    const auto now = ports_.time->now();
    const bool answered = worker.answered_at != base::time_point{};
    const bool unlisted = !worker.listed;
    log.keep("run_given_up",
             {{"job", run.job},
              {"task", task},
              {"run", run.run},
              {"worker", worker.facts.life.worker},
              {"cause", name_of(evidence)},
              {"answered_ms_ago",
               answered ? base::milliseconds_between(worker.answered_at, now) : unknown},
              {"lease_over_in_ms", base::milliseconds_between(now, leases_expired_at(worker))},
              {"unanswered_polls", worker.unanswered_polls},
              {"draining", worker.facts.draining},
              {"unlisted_ms_ago",
               unlisted ? base::milliseconds_between(worker.unlisted_at, now) : unknown},
              {"sends", run.sends},
              {"epoch", epoch_}});
}

void leader::finish_earlier_run(const fleet::ended_task& end)
{
    const auto found = jobs_.find(end.task.job);
    const batch::task_ref ref{end.task.occurrence, end.task.step, end.task.index};
    if (found == jobs_.end() || found->second.closing ||
        !found->second.state.finish_earlier_run(ref, end.run)) {
        return;
    }
    log.keep("earlier_run_done",
             {{"job", end.task.job}, {"task", batch::to_text(end.task)}, {"run", end.run}});
    mark_dirty(end.task.job);
    const bool gang = found->second.state.spec_of(ref.step).gang;
    for (auto& [id, worker] : workers_) {
        for (auto& [task, run] : worker->runs) {
            const bool later_run = run.job == end.task.job &&
                                   run.ref.occurrence == ref.occurrence &&
                                   run.ref.step == ref.step && (gang || run.ref.index == ref.index);
            if (later_run) {
                stop_run(*worker, run, stop_reason::moved);
            }
        }
    }
}

} // namespace poplarstile::control
