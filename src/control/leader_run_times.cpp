#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>

/// Learns run times and speeds of workers from finished runs, and applies them to plans.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"run_times"};
constexpr base::milliseconds report_interval{5'000};
/// A start that is known to be accepted only this long after it left may have begun at any time in
/// between. It is a tenth of the shortest usual run times.
constexpr base::milliseconds max_begin_uncertainty{250};
/// Weight of observations from which a worker counts as rated.
constexpr double rated_weight = 3.0;

/// True when the time at which the run began is known.
bool is_begin_known(const live_run& run)
{
    return run.sends > 0 && run.departed_starts > 0 && run.order == order_state::accepted &&
           !run.adopted && !run.taken_by_later_incarnation &&
           run.accepted_at - run.first_departed_at <= max_begin_uncertainty;
}

} // namespace

void leader::learn_run_time(worker_state& worker, const live_run& run, const batch::job& job)
{
    const auto& spec = job.spec_of(run.ref.step);
    const auto& tasks = job.step(run.ref.occurrence, run.ref.step).tasks;
    const auto is_current = [&](const batch::task_state& task) {
        return task.phase == batch::task_phase::placed && task.run == run.run;
    };
    // Of a gang only the first member that ends is current.
    const bool counts = !spec.long_running && !spec.best_effort &&
                        is_current(tasks.at(run.ref.index)) &&
                        (!spec.gang || std::ranges::all_of(tasks, is_current));
    run_time_sample sample;
    if (!counts || !add_to_sample(sample, worker, run, spec) ||
        (spec.gang && !add_gang_members(sample, run, job))) {
        return;
    }
    const auto now = ports_.time->now();
    const auto& queue = job.accepted().policy.queue;
    run_times_->learn({{queue, spec.image, spec.estimate},
                       base::milliseconds{base::milliseconds_between(sample.began, now)},
                       sample.workers},
                      now);
}

bool leader::add_gang_members(run_time_sample& sample, const live_run& run, const batch::job& job)
{
    const auto& spec = job.spec_of(run.ref.step);
    const auto& tasks = job.step(run.ref.occurrence, run.ref.step).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        if (index == run.ref.index) {
            continue;
        }
        const auto& life = tasks.at(index).worker;
        const auto worker = workers_.find(life.worker);
        if (worker == workers_.end() || worker->second->facts.life != life) {
            return false;
        }
        const auto task = batch::to_text({job.id(), run.ref.occurrence, run.ref.step, index});
        const auto member = worker->second->runs.find(task);
        if (member == worker->second->runs.end() || member->second.run != run.run ||
            !add_to_sample(sample, *worker->second, member->second, spec)) {
            return false;
        }
    }
    return true;
}

bool leader::add_to_sample(run_time_sample& sample, worker_state& worker, const live_run& run,
                           const batch::step_spec& spec) const
{
    const auto& rack = worker.facts.rack;
    sample.rack = sample.workers.empty() ? rack : sample.rack;
    const bool remote = (!spec.data_rack.empty() && spec.data_rack != rack) ||
                        (spec.one_rack && sample.rack != rack);
    const bool observed_throughout =
        run_time_watch_.no_pause_since(run.accepted_at, ports_.time->now()) &&
        run.accepted_at >= worker.silent_since;
    if (!is_begin_known(run) || !run.start_checkpoint.empty() || remote || !observed_throughout) {
        return false;
    }
    sample.began = std::max(sample.began, run.accepted_at);
    worker.speed.keep_only(worker.facts.life.started_at);
    if (std::ranges::find(sample.workers, &worker.speed) == sample.workers.end()) {
        sample.workers.push_back(&worker.speed);
    }
    return true;
}

step_run_times leader::run_times_of(const batch::job& job, std::uint32_t step) const
{
    if (!run_times_) {
        return {job.spec_of(step).estimate, job.chain_from(step)};
    }
    const auto& queue = job.accepted().policy.queue;
    const auto expected = [&](std::uint32_t index) {
        const auto& spec = job.spec_of(index);
        return run_times_->expected({queue, spec.image, spec.estimate});
    };
    return {expected(step), job.chain_from(step, expected)};
}

void leader::set_speed_need(planning::work_unit& unit, const planning::ranking_input& facts,
                            const step_run_times& expected) const
{
    if (!run_times_ || unit.spec->long_running) {
        return;
    }
    unit.pace.expected = expected.step;
    unit.pace.least = planning::least_speed_of(facts);
    unit.pace.prefers_slow = !unit.spec->gang && facts.priority != planning::urgent_priority &&
                             facts.priority >= least_urgent_priority();
}

void leader::set_speed(planning::worker_candidate& candidate, worker_state& worker,
                       base::time_point now) const
{
    if (!run_times_) {
        return;
    }
    worker.speed.keep_only(worker.facts.life.started_at);
    candidate.speed = worker.speed.speed(now);
    const base::milliseconds known_for{base::milliseconds_between(worker.registered_at, now)};
    candidate.cold_left = std::max(worker.facts.cold_left - known_for, base::milliseconds{0});
}

std::uint32_t leader::least_urgent_priority() const
{
    std::uint32_t least_urgent = planning::urgent_priority;
    if (const auto catalog = ports_.catalog()) {
        for (const auto& queue : catalog->parts().queues) {
            least_urgent = std::max(least_urgent, queue.policy.priority);
        }
    }
    return least_urgent;
}

std::optional<run_time_summary> leader::learned_run_times() const
{
    if (!run_times_) {
        return std::nullopt;
    }
    const auto now = ports_.time->now();
    run_time_summary made;
    made.model = run_times_->summary();
    std::vector<float> speeds;
    for (const auto& [id, worker] : workers_) {
        if (worker->speed.weight(now) >= rated_weight) {
            speeds.push_back(static_cast<float>(worker->speed.speed(now)));
        }
    }
    made.rated_workers = speeds.size();
    if (!speeds.empty()) {
        made.slowest_speed = estimation::quantile_of(speeds, 0.0);
        made.median_speed = estimation::quantile_of(speeds, 0.5);
        made.fastest_speed = estimation::quantile_of(speeds, 1.0);
    }
    return made;
}

void leader::follow_run_times()
{
    const auto now = ports_.time->now();
    if (!run_times_) {
        return;
    }
    run_time_watch_.note(now);
    if (now - run_times_reported_at_ < report_interval) {
        return;
    }
    run_times_reported_at_ = now;
    if (const auto learned = learned_run_times(); learned && learned->model.samples > 0) {
        log.info("run_times", {{"keys", learned->model.keys},
                               {"samples", learned->model.samples},
                               {"ignored", learned->model.ignored},
                               {"estimate_error_p50", learned->model.estimated.median},
                               {"estimate_error_p90", learned->model.estimated.high},
                               {"learned_error_p50", learned->model.predicted.median},
                               {"learned_error_p90", learned->model.predicted.high},
                               {"rated_workers", learned->rated_workers},
                               {"slowest_speed", learned->slowest_speed},
                               {"median_speed", learned->median_speed},
                               {"fastest_speed", learned->fastest_speed}});
    }
}

} // namespace poplarstile::control
