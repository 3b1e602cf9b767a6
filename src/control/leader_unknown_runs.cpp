#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <utility>

/// Tells operators why a run that a worker lists is none that this leader counts there.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"orders"};
/// Stands for a time or a number that is not known.
constexpr std::int64_t unknown = -1;

} // namespace

void leader::log_unknown_run(base::log_level level, std::string_view event,
                             const worker_state& worker, const uncounted_run& listed) const
{
    const batch::task_ref ref{listed.task.occurrence, listed.task.step, listed.task.index};
    const auto entry = jobs_.find(listed.task.job);
    const auto* const job = entry == jobs_.end() ? nullptr : &entry->second.state;
    const auto known = what_is_known(job, ref, listed.run);
    const bool has_task = job != nullptr && job->has(ref);
    const auto text = batch::to_text(listed.task);
    const auto here = worker.runs.find(text);
    const auto* const given_up = given_up_.find(text, listed.run);
    base::write_event_line(
        level, log.part(), event,
        {{"job", listed.task.job},
         {"task", text},
         {"run", listed.run},
         {"worker", worker.facts.life.worker},
         {"how", listed.how},
         {"known", name_of(known)},
         {"newest_run", has_task ? std::int64_t{job->task(ref).run} : unknown},
         {"newest_run_on", has_task ? std::string_view{job->task(ref).worker.worker} : ""},
         {"counted_here", here == worker.runs.end() ? unknown : std::int64_t{here->second.run}},
         {"given_up_by", given_up == nullptr ? "" : name_of(given_up->evidence)},
         {"given_up_on", given_up == nullptr ? std::string_view{} : given_up->worker},
         {"given_up_ms_ago", given_up == nullptr
                                 ? unknown
                                 : base::milliseconds_between(given_up->at, ports_.time->now())},
         {"closing", entry != jobs_.end() && entry->second.closing},
         {"epoch", epoch_}},
        base::line_weight::decisive);
}

void leader::note_given_up(const worker_state& worker, const std::string& task, const live_run& run,
                           run_evidence evidence)
{
    given_up_.add({task, run.run, worker.facts.life.worker, evidence, ports_.time->now()});
}

} // namespace poplarstile::control
