#include "plan_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

/// Properties of plans for random waiting and running work: no worker is overcommitted, gangs start
/// whole, and only permitted victims are stopped.
namespace poplarstile::planning
{
namespace
{

constexpr int max_workers = 12;
constexpr int max_units = 15;
constexpr int max_victims = 20;

void fill_at_random(plan_fixture& input)
{
    const auto workers = *rc::gen::inRange(1, max_workers);
    for (int index = 0; index < workers; ++index) {
        input.add_worker(fmt::format("r{}", index % 3));
    }
    const auto victims = *rc::gen::inRange(0, max_victims);
    for (int index = 0; index < victims; ++index) {
        const auto worker = static_cast<std::size_t>(*rc::gen::inRange(0, workers));
        const std::int64_t accelerators = *rc::gen::inRange(1, 5);
        if (input.workers.at(worker).free.accelerators >= accelerators) {
            input.add_victim(worker, accelerators, *rc::gen::inRange(0U, 3U),
                             *rc::gen::inRange(0, 100));
        }
    }
    const auto units = *rc::gen::inRange(1, max_units);
    for (int index = 0; index < units; ++index) {
        auto& spec = input.add_spec(*rc::gen::inRange(1U, 9U), *rc::gen::inRange(1, 9),
                                    *rc::gen::arbitrary<bool>());
        spec.one_rack = spec.gang && *rc::gen::arbitrary<bool>();
        const work_rank rank{*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 3U),
                             *rc::gen::arbitrary<bool>(), index};
        const auto unit = input.add_unit(spec, rank);
        input.units.at(unit).guaranteed = rank.priority == 0 && *rc::gen::arbitrary<bool>();
        input.units.at(unit).work = *rc::gen::inRange(0, 500);
    }
}

RC_GTEST_PROP(plan_model, NoWorkerIsOvercommittedAndGangsStartWhole, ())
{
    plan_fixture input;
    fill_at_random(input);

    const auto result = input.make();

    auto remaining = input.workers;
    std::vector<std::size_t> placed(input.units.size());
    for (const auto& start : result.starts) {
        for (const auto& task : start.tasks) {
            remaining.at(task.worker).free -= input.units.at(start.unit).spec->need;
            ++placed.at(start.unit);
        }
    }
    for (const auto& worker : remaining) {
        RC_ASSERT(worker.free.accelerators >= 0);
        RC_ASSERT(worker.free.cpu_milli >= 0);
        RC_ASSERT(worker.free.memory_mb >= 0);
    }
    for (std::size_t unit = 0; unit < placed.size(); ++unit) {
        const auto& wanted = input.units.at(unit);
        RC_ASSERT(placed.at(unit) <= wanted.tasks.size());
        RC_ASSERT(!wanted.spec->gang || placed.at(unit) == 0 ||
                  placed.at(unit) == wanted.tasks.size());
    }
}

RC_GTEST_PROP(plan_model, OnlyPermittedVictimsAreStoppedAndOnlyOnce, ())
{
    plan_fixture input;
    fill_at_random(input);

    const auto result = input.make();

    const bool any_urgent = std::ranges::any_of(input.units, [](const work_unit& unit) {
        return unit.rank.priority == 0 && !unit.rank.overdue;
    });
    const bool any_guaranteed = std::ranges::any_of(input.units, &work_unit::guaranteed);
    std::vector<int> stops(input.victims.size());
    for (const auto stop : result.stops) {
        RC_ASSERT(any_urgent);
        RC_ASSERT(++stops.at(stop) == 1);
        const auto& stopped = input.victims.at(stop);
        RC_ASSERT(stopped.priority > 0 || (any_guaranteed && !stopped.guaranteed));
    }
}

} // namespace
} // namespace poplarstile::planning
