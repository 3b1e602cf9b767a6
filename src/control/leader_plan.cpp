#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "control/plan_input.hpp"
#include "control/worker_room.hpp"
#include "planning/plan_pause.hpp"
#include "planning/start_limit.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

/// Makes plans from the leader's state, and turns them into orders to workers.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"plan"};
constexpr double milliseconds_per_second = 1'000.0;
/// Number of distinct jobs that failed on a worker, without a success since, after which no work
/// is placed there.
constexpr std::size_t failed_jobs_limit = 2;
/// Failures older than this don't count, so that a worker is tried again after this time without
/// further failures.
constexpr base::milliseconds recent_failure_window{8'000};

/// Workers with a greater value are tried after the others of their rack.
double suspicion_of(std::ptrdiff_t recent_failures, bool crashed_recently)
{
    return static_cast<double>(recent_failures) + (crashed_recently ? 1.0 : 0.0);
}

/// Unix milliseconds from which the objective of an occurrence is measured.
std::int64_t objective_start_ms(const batch::job& job, std::uint32_t occurrence)
{
    return std::max(job.accepted().accepted_ms, job.due_ms(occurrence));
}

} // namespace

step_tasks leader::tasks_of(const batch::job& job, const unit_origin& origin) const
{
    step_tasks result;
    const auto& tasks = job.step(origin.occurrence, origin.step).tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
        const auto& task = tasks.at(index);
        if (task.phase == batch::task_phase::waiting) {
            const bool isolated =
                job.any_crash() && job.needs_isolation({origin.occurrence, origin.step, index});
            (isolated ? result.isolated : result.waiting).push_back(index);
        }
    }
    if (job.spec_of(origin.step).max_per_worker > 0) {
        for (const auto& [id, worker] : workers_) {
            if (const auto present = tasks_on(*worker, origin); present > 0) {
                result.present[worker->plan_index] = present;
            }
        }
    }
    return result;
}

void leader::schedule_plan()
{
    if (!active_ || plan_scheduled_ || handing_back_) {
        return;
    }
    plan_scheduled_ = true;
    const auto now = ports_.time->now();
    const auto due = std::max(last_plan_at_ + planning::pause_after_plan(last_plan_took_), now);
    const auto delay = std::chrono::ceil<base::milliseconds>(due - now);
    ports_.time->after(delay, [this, alive = alive_] {
        if (*alive) {
            plan_scheduled_ = false;
            make_plan();
        }
    });
}

void leader::make_plan()
{
    if (!active_ || handing_back_) {
        return;
    }
    const auto began = ports_.time->now();
    plan_input input;
    collect_workers(input);
    note_usable_capacity(input);
    collect_units(input);
    if (!input.units.empty()) {
        ++counters_.plans;
        if (planning::may_preempt_any(input.units)) {
            collect_victims(input);
        }
        mark_isolated_workers(input);
        apply_plan(input, planning::make_plan(input.units, input.workers, input.victims));
    }
    last_plan_at_ = ports_.time->now();
    last_plan_took_ = std::chrono::ceil<base::milliseconds>(last_plan_at_ - began);
    if (!input.units.empty()) {
        report_span(leader_span::plan, last_plan_took_);
    }
}

void leader::collect_workers(plan_input& input)
{
    const auto now = ports_.time->now();
    const auto authority_at = lease_authority_at();
    // A start without a lease is rejected as late.
    const bool may_grant = authority_at && now - *authority_at < options_.lease_horizon;
    for (const auto& [id, worker] : workers_) {
        planning::worker_candidate candidate;
        candidate.facts = &worker->facts;
        const auto room = room_of(*worker);
        candidate.free = worker->facts.capacity - room.in_use;
        candidate.free_after_stops = candidate.free + room.being_stopped;
        candidate.held_for_urgent = worker->urgent_hold.held(now);
        const auto recent_failures =
            std::ranges::count_if(worker->failed_jobs, [&](const auto& failed) {
                return now - failed.second < recent_failure_window;
            });
        candidate.suspicion = suspicion_of(recent_failures, crashed_recently(*worker));
        candidate.unusable = why_unusable(*worker, room, may_grant, recent_failures);
        candidate.schedulable = candidate.unusable == planning::unusable_reason::none;
        set_speed(candidate, *worker, now);
        worker->plan_index = input.workers.size();
        input.workers.push_back(candidate);
        input.worker_states.push_back(worker.get());
    }
}

planning::unusable_reason leader::why_unusable(const worker_state& worker, const worker_room& room,
                                               bool may_grant, std::ptrdiff_t recent_failures) const
{
    using planning::unusable_reason;
    if (!may_grant) {
        return unusable_reason::no_lease_authority;
    }
    if (!worker.listed) {
        return unusable_reason::unlisted;
    }
    if (worker.facts.draining) {
        return unusable_reason::draining;
    }
    if (!drains_known()) {
        return unusable_reason::drains_not_read;
    }
    if (is_domain_drained(worker)) {
        return unusable_reason::domain_drained;
    }
    if (worker.unanswered_polls > 0) {
        return unusable_reason::silent;
    }
    if (!worker.fenced) {
        return unusable_reason::not_fenced;
    }
    if (!worker.clock.known()) {
        return unusable_reason::clock_unknown;
    }
    if (!worker.unknown_jobs.empty()) {
        return unusable_reason::unknown_jobs;
    }
    if (!room.known) {
        return unusable_reason::unknown_need;
    }
    if (!is_capacity_known(worker)) {
        return unusable_reason::capacity_too_old;
    }
    return recent_failures < static_cast<std::ptrdiff_t>(failed_jobs_limit)
               ? unusable_reason::none
               : unusable_reason::recent_failures;
}

bool leader::is_placeable(const job_entry& entry, const std::set<std::string>& elsewhere) const
{
    return parts_.at(entry.part).phase == part_phase::active && part_answers(entry.part) &&
           may_place(entry, elsewhere);
}

void leader::collect_units(plan_input& input)
{
    std::vector<job_entry*> open;
    const auto elsewhere = jobs_recorded_elsewhere();
    for (auto& [id, entry] : jobs_) {
        if (entry.state.open() && is_placeable(entry, elsewhere)) {
            open.push_back(&entry);
        }
    }
    std::ranges::sort(open, {}, [](const job_entry* entry) {
        return std::pair{entry->state.accepted().accepted_ms, entry->state.id()};
    });
    std::map<std::string, std::int64_t> urgent_need;
    for (auto* entry : open) {
        entry->guaranteed = count_guaranteed(*entry, urgent_need);
        collect_units_of(input, *entry);
    }
}

void leader::collect_units_of(plan_input& input, job_entry& entry) const
{
    const auto unix_ms = ports_.time->unix_ms();
    const auto& occurrences = entry.state.occurrences();
    for (std::uint32_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
        if (entry.state.due_ms(occurrence) > unix_ms) {
            break;
        }
        const auto steps = static_cast<std::uint32_t>(occurrences.at(occurrence).steps.size());
        for (std::uint32_t step = 0; step < steps; ++step) {
            if (entry.state.step_ready(occurrence, step)) {
                collect_unit(input, entry, {entry.state.id(), occurrence, step});
            }
        }
    }
}

/// Jobs of priority 0 are guaranteed in the order of their acceptance, up to the accelerators that
/// are guaranteed to their workspace.
bool leader::count_guaranteed(const job_entry& entry,
                              std::map<std::string, std::int64_t>& urgent_need) const
{
    const auto& accepted = entry.state.accepted();
    const auto catalog = ports_.catalog();
    if (accepted.policy.priority != 0 || !catalog) {
        return false;
    }
    const auto* const workspace = catalog->workspace_named(accepted.workspace);
    if (workspace == nullptr) {
        return false;
    }
    std::int64_t need = 0;
    for (const auto& step : accepted.spec.steps) {
        need = std::max(need, step.need.accelerators * std::int64_t{step.task_count});
    }
    auto& sum = urgent_need[accepted.workspace];
    sum += need;
    return sum <= workspace->guaranteed_accelerators;
}

void leader::collect_unit(plan_input& input, job_entry& entry, const unit_origin& origin) const
{
    const auto& job = entry.state;
    const auto& spec = job.spec_of(origin.step);
    const auto tasks = tasks_of(job, origin);
    const auto waiting = tasks.waiting.size() + tasks.isolated.size();
    if (waiting == 0 || (spec.gang && waiting != spec.task_count)) {
        return;
    }
    planning::work_unit unit;
    unit.spec = &spec;
    unit.service = &job.accepted().policy.service;
    unit.guaranteed = entry.guaranteed;
    unit.present.assign(tasks.present.begin(), tasks.present.end());
    planning::ranking_input facts;
    facts.priority = job.accepted().policy.priority;
    facts.guaranteed = entry.guaranteed;
    const auto since_ms = objective_start_ms(job, origin.occurrence);
    const auto expected = run_times_of(job, origin.step);
    if (!spec.long_running) {
        facts.age =
            base::milliseconds{std::max<std::int64_t>(ports_.time->unix_ms() - since_ms, 0)};
        facts.remaining = expected.chain;
    }
    facts.objective = job.objective();
    unit.rank = planning::rank_of(facts, since_ms);
    set_speed_need(unit, facts, expected);
    for (const bool isolated : {false, true}) {
        unit.tasks = isolated ? tasks.isolated : tasks.waiting;
        unit.isolated = isolated;
        unit.work = batch::core_weight(spec.need) * static_cast<double>(unit.tasks.size()) *
                    static_cast<double>(expected.step.count()) / milliseconds_per_second;
        if (unit.tasks.empty()) {
            entry.waits_since.erase({origin.occurrence, origin.step, isolated});
        } else {
            const auto now = ports_.time->now();
            const auto since =
                entry.waits_since.try_emplace({origin.occurrence, origin.step, isolated}, now);
            unit.waited = std::chrono::floor<base::milliseconds>(now - since.first->second);
            input.units.push_back(unit);
            input.origins.push_back(origin);
        }
    }
}

void leader::collect_victims(plan_input& input) const
{
    using gang_key = std::tuple<std::string_view, std::uint32_t, std::uint32_t>;
    const auto now = ports_.time->now();
    std::map<gang_key, std::size_t> gang_victims;
    for (const auto& [id, worker] : workers_) {
        for (auto& [task, run] : worker->runs) {
            const auto entry = jobs_.find(run.job);
            if (entry == jobs_.end() || run.stopping != stop_reason::none) {
                continue;
            }
            const auto& accepted = entry->second.state.accepted();
            const auto& spec = entry->second.state.spec_of(run.ref.step);
            const auto since =
                spec.checkpoints && run.saved_at > run.accepted_at ? run.saved_at : run.accepted_at;
            const bool order_accepted = run.order == order_state::accepted;
            const double lost_seconds =
                order_accepted ? static_cast<double>(base::milliseconds_between(since, now)) /
                                     milliseconds_per_second
                               : 0.0;
            const auto loss = lost_seconds * batch::core_weight(run.need);
            const auto holding = planning::victim::holding{worker->plan_index, run.need};
            if (spec.gang) {
                const gang_key key{run.job, run.ref.occurrence, run.ref.step};
                const auto [position, added] = gang_victims.emplace(key, input.victims.size());
                if (!added) {
                    auto& gang_victim = input.victims.at(position->second);
                    gang_victim.holdings.push_back(holding);
                    gang_victim.loss += loss;
                    input.victim_runs.at(position->second).push_back({worker.get(), &run});
                    continue;
                }
            }
            input.victims.push_back(
                {{holding}, accepted.policy.priority, entry->second.guaranteed, loss});
            input.victim_runs.push_back({{worker.get(), &run}});
        }
    }
}

void leader::apply_plan(const plan_input& input, planning::plan made)
{
    start_placed(input, std::move(made.starts));
    for (const auto stop : made.stops) {
        ++counters_.preemptions;
        for (const auto& victim : input.victim_runs.at(stop)) {
            stop_run(*victim.worker, *victim.run, stop_reason::reclaimed);
        }
    }
}

std::size_t leader::unanswered_starts() const
{
    std::size_t count = 0;
    for (const auto& [id, worker] : workers_) {
        if (worker->unanswered_polls > 0) {
            // Its starts are not answered for another reason than many of them being under way.
            continue;
        }
        count += static_cast<std::size_t>(std::ranges::count_if(worker->runs, [](const auto& run) {
            return run.second.order != order_state::accepted && !run.second.adopted &&
                   run.second.stopping == stop_reason::none;
        }));
    }
    return count;
}

void leader::start_placed(const plan_input& input, std::vector<planning::placed_unit> placed)
{
    const auto admitted = planning::limit_starts(input.units, std::move(placed),
                                                 unanswered_starts(), pacing_.max_starts());
    for (const auto& unit : admitted.starts) {
        start_unit(input, unit);
    }
    starts_held_back_ = admitted.held_back > 0;
    if (starts_held_back_) {
        log.keep("starts_held_back", {{"tasks", admitted.held_back},
                                      {"most_under_way", pacing_.max_starts()},
                                      {"retry_after_ms", pacing_.retry_after().count()}});
    }
}

void leader::plan_held_back_work()
{
    if (starts_held_back_) {
        schedule_plan();
    }
}

void leader::start_unit(const plan_input& input, const planning::placed_unit& placed)
{
    const auto& origin = input.origins.at(placed.unit);
    const auto found = jobs_.find(origin.job);
    if (found == jobs_.end()) {
        return;
    }
    auto& entry = found->second;
    if (!entry.state.started()) {
        report_span(leader_span::job_until_placed, age_of(entry.state));
    }
    const auto now = ports_.time->now();
    const auto& spec = entry.state.spec_of(origin.step);
    const bool isolated = input.units.at(placed.unit).isolated;
    entry.waits_since.erase({origin.occurrence, origin.step, isolated});
    const auto gang_run =
        entry.state.next_run({origin.occurrence, origin.step, placed.tasks.front().task});
    for (const auto& assigned : placed.tasks) {
        const batch::task_ref ref{origin.occurrence, origin.step, assigned.task};
        auto& worker = *input.worker_states.at(assigned.worker);
        live_run run;
        run.job = origin.job;
        run.ref = ref;
        run.run = spec.gang ? gang_run : entry.state.next_run(ref);
        run.need = spec.need;
        run.start_checkpoint = entry.state.task(ref).checkpoint;
        run.checkpoint = run.start_checkpoint;
        run.planned_at = now;
        run.lease_until = lease_for(worker, now).value_or(0);
        entry.state.place(ref, run.run, worker.facts.life, worker.facts.address);
        const auto task = batch::to_text({origin.job, ref.occurrence, ref.step, ref.index});
        if (entry.state.accepted().policy.priority == planning::urgent_priority) {
            worker.urgent_hold.take(run.need);
        }
        entry.unsent.push_back({worker.facts.life.worker, task});
        worker.runs.insert_or_assign(task, std::move(run));
    }
    const auto& unit = input.units.at(placed.unit);
    if (placed.tasks.size() == unit.tasks.size()) {
        waiting_.forget({origin.job, origin.occurrence, origin.step, unit.isolated});
    }
    log.keep("unit_placed", {{"job", origin.job},
                             {"occurrence", origin.occurrence},
                             {"step", origin.step},
                             {"tasks", placed.tasks.size()},
                             {"gang", spec.gang},
                             {"isolated", placed.isolated},
                             {"open_jobs", jobs_.size()},
                             {"waited_ms", base::milliseconds_between(entry.known_since, now)}});
    mark_dirty(origin.job);
}

} // namespace poplarstile::control
