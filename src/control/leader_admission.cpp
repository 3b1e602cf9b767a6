#include "control/leader.hpp"

#include "base/event_line.hpp"
#include "planning/admission.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

/// Tells the API frontends which queues are short of capacity. The state is only in memory: a new
/// leader begins without a measured rate, and counts the jobs that it has read.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"admission"};
/// The load is counted at most this often. Shortages are logged by the first count after each look
/// at waiting work, so that both lines show the same state.
constexpr base::milliseconds count_interval{200};

void log_shortage(const planning::queue_shortage& shortage, std::uint32_t waiting_jobs)
{
    std::string workspaces;
    for (const auto& workspace : shortage.at_fair_share) {
        workspaces += fmt::format("{}{}", workspaces.empty() ? "" : " ", workspace);
    }
    log.keep("queue_short", {{"queue", shortage.queue},
                             {"waiting_jobs", waiting_jobs},
                             {"wait_ms", shortage.wait.count()},
                             {"in_time_wait_ms", shortage.in_time_wait.count()},
                             {"late_permille", shortage.late_permille},
                             {"accepts_any_after_ms", shortage.accepts_any_after.count()},
                             {"at_fair_share", workspaces}});
}

std::uint32_t to_wire_ms(base::milliseconds time)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

/// Sums what the tasks of a step add to the load of the workers.
void add_step(planning::job_load& load, const batch::step_spec& spec,
              const batch::step_state& state)
{
    const auto placed = planning::amount_of(spec.need) * static_cast<double>(state.placed);
    if (spec.long_running) {
        load.lasting += placed;
        return;
    }
    load.occupied += placed;
    const auto left =
        state.tasks.size() - std::min<std::size_t>(state.tasks.size(), state.done + state.placed);
    load.waiting += planning::work_of(spec.need, left, spec.estimate);
    load.total += planning::work_of(spec.need, state.tasks.size(), spec.estimate);
}

/// Chain of the steps that are not done, by the longest of them.
base::milliseconds remaining_chain(const batch::job& job, std::uint32_t occurrence)
{
    const auto& steps = job.occurrences().at(occurrence).steps;
    base::milliseconds longest{0};
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (steps.at(step).done < steps.at(step).tasks.size()) {
            longest = std::max(longest, job.chain_from(step));
        }
    }
    return longest;
}

} // namespace

void leader::note_usable_capacity(const plan_input& input)
{
    if (!options_.refuse_hopeless_jobs) {
        return;
    }
    std::map<std::string_view, planning::work_amount> usable;
    for (const auto& worker : input.workers) {
        if (worker.schedulable) {
            usable[worker.facts->service] += planning::amount_of(worker.facts->capacity);
        }
    }
    forecast_.note_capacity(usable, ports_.time->now());
}

void leader::note_work_done(const batch::job& job, const batch::task_ref& ref)
{
    const auto& spec = job.spec_of(ref.step);
    if (!options_.refuse_hopeless_jobs || spec.long_running) {
        return;
    }
    // The end of one member is that of the whole gang.
    const std::size_t tasks = spec.gang ? spec.task_count : 1;
    forecast_.note_done(job.accepted().policy.service,
                        planning::work_of(spec.need, tasks, spec.estimate), ports_.time->now());
}

planning::job_loads leader::count_job_loads() const
{
    const auto unix_ms = ports_.time->unix_ms();
    planning::job_loads loads;
    for (const auto& [id, entry] : jobs_) {
        const auto& job = entry.state;
        const auto& accepted = job.accepted();
        if (!job.open()) {
            continue;
        }
        const auto& policy = accepted.policy;
        planning::job_load load;
        load.queue = policy.queue;
        load.service = policy.service;
        load.workspace = accepted.workspace;
        load.priority = policy.priority;
        load.shortest_objective = policy.completion_target;
        load.times = {job.objective(), job.longest_chain()};
        const auto& occurrences = job.occurrences();
        for (std::uint32_t occurrence = 0;
             occurrence < occurrences.size() && job.due_ms(occurrence) <= unix_ms; ++occurrence) {
            load.waiting = {};
            load.total = {};
            load.occupied = {};
            load.lasting = {};
            const auto& steps = occurrences.at(occurrence).steps;
            for (std::uint32_t step = 0; step < steps.size(); ++step) {
                add_step(load, job.spec_of(step), steps.at(step));
            }
            const auto since_ms = std::max(accepted.accepted_ms, job.due_ms(occurrence));
            planning::ranking_input rank;
            rank.priority = policy.priority;
            rank.guaranteed = entry.guaranteed && policy.priority == planning::urgent_priority;
            rank.age = base::milliseconds{std::max<std::int64_t>(unix_ms - since_ms, 0)};
            rank.remaining = remaining_chain(job, occurrence);
            rank.objective = load.times.objective;
            load.age = rank.age;
            load.expected = planning::timeliness_of(rank);
            loads.add(load);
        }
    }
    return loads;
}

std::map<std::string_view, planning::guarantee_use>
leader::count_guarantee_use(const catalog::catalog_ptr& catalog) const
{
    std::map<std::string_view, planning::guarantee_use> uses;
    if (!catalog) {
        return uses;
    }
    for (const auto& workspace : catalog->parts().workspaces) {
        if (workspace.guaranteed_accelerators > 0) {
            uses[workspace.name].guaranteed = workspace.guaranteed_accelerators;
        }
    }
    // As in `count_guaranteed`, by the step of each job that needs most.
    for (const auto& [id, entry] : jobs_) {
        const auto& accepted = entry.state.accepted();
        const auto use = uses.find(accepted.workspace);
        if (use == uses.end() || accepted.policy.priority != planning::urgent_priority ||
            !entry.state.open()) {
            continue;
        }
        std::int64_t need = 0;
        for (const auto& step : accepted.spec.steps) {
            need = std::max(need, step.need.accelerators * std::int64_t{step.task_count});
        }
        use->second.needed += need;
    }
    return uses;
}

void leader::add_shortages(std::vector<cluster::queue_load>& loads)
{
    short_queues_ = 0;
    // While rows of jobs are unseen, the load is not known, and a job id that no VM knows may be
    // that of a stored job.
    if (!options_.refuse_hopeless_jobs || !active_ || !all_rows_seen()) {
        return;
    }
    // The names in the result are those of this configuration.
    const auto catalog = ports_.catalog();
    const auto guarantees = count_guarantee_use(catalog);
    const auto now = ports_.time->now();
    const auto found = forecast_.shortages(count_job_loads(), guarantees, now);
    short_queues_ = found.size();
    for (const auto& shortage : found) {
        const auto load = std::ranges::find(loads, shortage.queue, &cluster::queue_load::queue);
        if (load == loads.end()) {
            continue;
        }
        if (now - waiting_looked_at_ < count_interval) {
            log_shortage(shortage, load->waiting);
        }
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(shortage.accepts_any_after).count();
        load->retry_after_s = static_cast<std::uint32_t>(seconds);
        load->shortage =
            cluster::queue_shortage{to_wire_ms(shortage.wait), to_wire_ms(shortage.in_time_wait),
                                    shortage.late_permille, shortage.at_fair_share};
    }
}

} // namespace poplarstile::control
