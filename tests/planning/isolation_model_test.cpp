#include "plan_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

/// Properties of plans with isolated units: for random states, and for plans that follow each other
/// while tasks run and end.
namespace poplarstile::planning
{
namespace
{

constexpr int max_workers = 16;
constexpr int max_units = 12;
/// A suspect that has waited for so long may take idle workers beyond half of them.
constexpr base::milliseconds long_wait{2'000};

void fill_at_random(plan_fixture& input)
{
    const auto workers = *rc::gen::inRange(1, max_workers);
    for (int index = 0; index < workers; ++index) {
        const auto worker = input.add_worker(fmt::format("r{}", index % 3));
        const std::int64_t used = *rc::gen::inRange(0, 9);
        if (used > 0 && *rc::gen::arbitrary<bool>()) {
            input.add_victim(worker, used, *rc::gen::inRange(0U, 3U), *rc::gen::inRange(0, 100));
        } else if (used == 1) {
            input.occupy(worker, used);
            input.workers.at(worker).isolated = true;
        }
    }
    const auto units = *rc::gen::inRange(1, max_units);
    for (int index = 0; index < units; ++index) {
        auto& spec = input.add_spec(*rc::gen::inRange(1U, 6U), *rc::gen::inRange(1, 9),
                                    *rc::gen::arbitrary<bool>());
        spec.one_rack = spec.gang && *rc::gen::arbitrary<bool>();
        spec.max_per_worker = *rc::gen::inRange(0U, 3U);
        const work_rank rank{*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 3U),
                             *rc::gen::arbitrary<bool>(), index};
        const auto unit = input.add_unit(spec, rank);
        input.units.at(unit).isolated = *rc::gen::arbitrary<bool>();
        input.units.at(unit).waited = base::milliseconds{*rc::gen::inRange(0, 5) * 1'000};
        input.units.at(unit).guaranteed = rank.priority == 0 && *rc::gen::arbitrary<bool>();
        input.units.at(unit).work = *rc::gen::inRange(0, 500);
    }
}

RC_GTEST_PROP(isolation_model, NothingElseIsOnTheWorkersOfAnIsolatedUnit, ())
{
    plan_fixture input;
    fill_at_random(input);

    const auto result = input.make();

    auto remaining = input.workers;
    std::map<std::size_t, std::set<std::size_t>> units_on;
    std::set<std::size_t> closed;
    for (const auto& start : result.starts) {
        const auto& unit = input.units.at(start.unit);
        RC_ASSERT(!start.isolated || unit.isolated);
        RC_ASSERT(!unit.spec->gang || start.tasks.size() == unit.tasks.size());
        for (const auto& task : start.tasks) {
            RC_ASSERT(!input.workers.at(task.worker).isolated);
            remaining.at(task.worker).free -= unit.spec->need;
            units_on[task.worker].insert(start.unit);
            if (start.isolated) {
                closed.insert(task.worker);
            }
        }
    }
    for (const auto worker : closed) {
        RC_ASSERT(!input.workers.at(worker).occupied);
        RC_ASSERT(units_on.at(worker).size() == 1U);
    }
    for (const auto& worker : remaining) {
        RC_ASSERT(worker.free.accelerators >= 0);
    }
    const auto held_before = std::ranges::count_if(input.workers, &worker_candidate::isolated);
    const auto limit = std::max<std::size_t>(input.workers.size() / 4, 1);
    const auto all_closed = closed.size() + static_cast<std::size_t>(held_before);
    // More than a quarter of the workers are closed only up to their bound, and only if none of
    // them was wanted: any waiting task fits on a worker that was idle.
    const auto patient = std::ranges::any_of(input.units, [](const work_unit& unit) {
        return unit.isolated && unit.waited >= long_wait;
    });
    const auto bound = patient ? input.workers.size() - limit : input.workers.size() / 2;
    RC_ASSERT(closed.empty() || all_closed <= std::max(limit, bound));
    std::map<std::size_t, std::size_t> placed;
    for (const auto& start : result.starts) {
        placed[start.unit] += start.tasks.size();
    }
    for (std::size_t index = 0; index < input.units.size(); ++index) {
        const auto& unit = input.units.at(index);
        const bool others_wait =
            !unit.isolated && !unit.spec->gang && placed[index] < unit.tasks.size();
        RC_ASSERT(closed.empty() || !others_wait || all_closed <= limit);
    }
}

/// Workers on which tasks run for a number of plans, while new tasks are submitted before every
/// plan, so that ordinary placement never leaves a worker idle.
class busy_service
{
public:
    static constexpr int longest_run = 6;

    explicit busy_service(int workers)
    {
        small.need = {1'000, 1'000, 1};
        for (int index = 0; index < workers; ++index) {
            state_.add_worker(fmt::format("r{}", index % 3));
        }
    }

    /// Makes a plan in which the suspects wait, and lets a unit of time pass. Returns the positions
    /// of the suspects that start.
    std::set<std::size_t> step(std::span<const work_unit> suspects)
    {
        state_.units.assign(suspects.begin(), suspects.end());
        work_unit others;
        others.spec = &small;
        others.service = &state_.service;
        others.rank = {false, 0, false, now_};
        for (std::uint32_t task = 0; task < 2 * max_workers * 8; ++task) {
            others.tasks.push_back(task);
        }
        state_.units.push_back(others);
        std::set<std::size_t> started;
        for (const auto& start : state_.make().starts) {
            if (start.unit < suspects.size()) {
                started.insert(start.unit);
            }
            for (const auto& task : start.tasks) {
                run(task.worker, state_.units.at(start.unit).spec->need, start.isolated);
            }
        }
        end_runs();
        return started;
    }

    batch::step_spec small{};
    std::string& service()
    {
        return state_.service;
    }

private:
    struct running {
        std::size_t worker = 0;
        batch::resources need{};
        int ends_at = 0;
        bool isolated = false;
    };

    void run(std::size_t worker, const batch::resources& need, bool isolated)
    {
        const auto takes = *rc::gen::inRange(1, longest_run + 1);
        runs_.push_back({worker, need, now_ + takes, isolated});
    }

    void end_runs()
    {
        ++now_;
        std::erase_if(runs_, [this](const running& run) { return run.ends_at <= now_; });
        for (auto& worker : state_.workers) {
            worker.free = plan_fixture::worker_capacity;
            worker.occupied = false;
            worker.isolated = false;
        }
        for (const auto& run : runs_) {
            auto& worker = state_.workers.at(run.worker);
            worker.free -= run.need;
            worker.occupied = true;
            worker.isolated = worker.isolated || run.isolated;
        }
        for (auto& worker : state_.workers) {
            worker.free_after_stops = worker.free;
        }
    }

    plan_fixture state_{};
    std::vector<running> runs_{};
    int now_ = 0;
};

RC_GTEST_PROP(isolation_model, ASuspectIsPlacedWithinABoundedNumberOfPlansUnderLoad, ())
{
    const auto workers = *rc::gen::inRange(4, max_workers);
    busy_service site{workers};
    for (int warm_up = 0; warm_up < busy_service::longest_run; ++warm_up) {
        (void)site.step({});
    }
    std::deque<batch::step_spec> specs;
    std::vector<work_unit> suspects;
    const auto count = *rc::gen::inRange(1, 5);
    for (int index = 0; index < count; ++index) {
        auto& spec = specs.emplace_back();
        spec.gang = *rc::gen::arbitrary<bool>();
        spec.one_rack = spec.gang && *rc::gen::arbitrary<bool>();
        const auto tasks = *rc::gen::inRange(1U, static_cast<std::uint32_t>(workers) / 4 + 1);
        spec.need = {1'000, 1'000, *rc::gen::inRange(1, 9)};
        auto& suspect = suspects.emplace_back();
        suspect.spec = &spec;
        suspect.service = &site.service();
        suspect.isolated = true;
        suspect.rank = {*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 3U), false, index};
        for (std::uint32_t task = 0; task < tasks; ++task) {
            suspect.tasks.push_back(task);
        }
    }

    // Each worker that is held back is idle after the longest run, unless one with less on it is
    // held back in its place, which has fewer tasks left each time.
    const int most_plans = count * busy_service::longest_run * 8;
    for (int made = 0; made < most_plans && !suspects.empty(); ++made) {
        const auto started = site.step(suspects);
        for (auto index = started.rbegin(); index != started.rend(); ++index) {
            suspects.erase(suspects.begin() + static_cast<std::ptrdiff_t>(*index));
        }
    }

    RC_ASSERT(suspects.empty());
}

} // namespace
} // namespace poplarstile::planning
