#include "control/leader.hpp"

#include "control/worker_room.hpp"
#include "planning/isolation.hpp"

#include <algorithm>
#include <tuple>

/// Workers on which tasks that are suspected of crashing workers run apart from other work.
namespace poplarstile::control
{
namespace
{

/// A suspected run that has worked for this long is no longer kept apart, so that work that does
/// not end closes no worker for good.
constexpr base::milliseconds isolation_window{30'000};

/// The step of a run: its job, occurrence and index.
using step_key = std::tuple<std::string_view, std::uint32_t, std::uint32_t>;

step_key step_of(const live_run& run)
{
    return {run.job, run.ref.occurrence, run.ref.step};
}

bool is_suspected(const batch::job& job, const live_run& run, base::time_point now)
{
    const bool survived =
        run.order == order_state::accepted && now - run.accepted_at >= isolation_window;
    return !survived && job.needs_isolation(run.ref);
}

/// What the runs on one worker are to the plan.
struct worker_use {
    /// Steps with suspected runs there.
    std::set<step_key> suspected{};
    /// Something else may run there too.
    bool others = false;
    bool lasting = false;
};

/// Workers with suspected runs of one step.
struct suspected_step {
    const batch::step_spec* spec = nullptr;
    std::size_t workers = 0;
    /// Those on which nothing else runs.
    std::vector<std::size_t> apart{};
};

/// True when the gang was too wide to be isolated and was placed as any other.
bool is_too_wide(const suspected_step& step, const plan_input& input)
{
    if (!step.spec->gang || step.apart.empty()) {
        return false;
    }
    const auto& service = input.workers.at(step.apart.front()).facts->service;
    const auto usable = std::ranges::count_if(input.workers, [&](const auto& worker) {
        return worker.schedulable && worker.facts->service == service;
    });
    return step.workers > planning::isolation_limit(static_cast<std::size_t>(usable));
}

} // namespace

void leader::mark_isolated_workers(plan_input& input) const
{
    const bool any_suspected =
        std::ranges::any_of(jobs_, [](const auto& job) { return job.second.state.any_crash(); });
    if (!any_suspected) {
        return;
    }
    const auto now = ports_.time->now();
    std::map<step_key, suspected_step> steps;
    const auto use_of = [&](const worker_state& worker) {
        worker_use use;
        use.others = !worker.unknown_jobs.empty() || room_of(worker).unknown_runs > 0;
        for (const auto& [task, run] : worker.runs) {
            const auto entry = jobs_.find(run.job);
            if (entry == jobs_.end()) {
                use.others = true;
                continue;
            }
            const auto& spec = entry->second.state.spec_of(run.ref.step);
            use.lasting |= spec.long_running;
            if (is_suspected(entry->second.state, run, now)) {
                use.suspected.insert(step_of(run));
                steps[step_of(run)].spec = &spec;
            } else {
                use.others = true;
            }
        }
        return use;
    };
    for (std::size_t index = 0; index < input.workers.size(); ++index) {
        const auto& worker = *input.worker_states.at(index);
        const auto use = use_of(worker);
        input.workers.at(index).occupied = use.others || !use.suspected.empty();
        input.workers.at(index).holds_lasting_work = use.lasting;
        for (const auto& step : use.suspected) {
            ++steps[step].workers;
        }
        if (!use.others && use.suspected.size() == 1) {
            steps[*use.suspected.begin()].apart.push_back(index);
        }
    }
    for (const auto& [key, step] : steps) {
        const bool isolated = !is_too_wide(step, input);
        for (const auto index : step.apart) {
            input.workers.at(index).isolated = isolated;
        }
    }
}

} // namespace poplarstile::control
