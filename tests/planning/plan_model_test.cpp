#include "plan_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

/// Whatever waits and whatever runs, a plan never puts more on a worker than fits.
namespace poplarstile::planning
{
namespace
{

constexpr int most_workers = 12;
constexpr int most_units = 15;
constexpr int most_victims = 20;

void fill_at_random(plan_fixture& site)
{
    const auto workers = *rc::gen::inRange(1, most_workers);
    for (int index = 0; index < workers; ++index) {
        site.add_worker(fmt::format("r{}", index % 3));
    }
    const auto victims = *rc::gen::inRange(0, most_victims);
    for (int index = 0; index < victims; ++index) {
        const auto worker = static_cast<std::size_t>(*rc::gen::inRange(0, workers));
        const std::int64_t accelerators = *rc::gen::inRange(1, 5);
        if (site.workers.at(worker).free.accelerators >= accelerators) {
            site.add_victim(worker, accelerators, *rc::gen::inRange(0U, 3U),
                            *rc::gen::inRange(0, 100));
        }
    }
    const auto units = *rc::gen::inRange(1, most_units);
    for (int index = 0; index < units; ++index) {
        auto& spec = site.add_spec(*rc::gen::inRange(1U, 9U), *rc::gen::inRange(1, 9),
                                   *rc::gen::arbitrary<bool>());
        spec.one_rack = spec.gang && *rc::gen::arbitrary<bool>();
        const work_rank rank{*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 3U),
                             *rc::gen::arbitrary<bool>(), index};
        const auto unit = site.add_unit(spec, rank);
        site.units.at(unit).guaranteed = rank.priority == 0 && *rc::gen::arbitrary<bool>();
        site.units.at(unit).work = *rc::gen::inRange(0, 500);
    }
}

RC_GTEST_PROP(plan_model, NothingIsOverfilledAndGangsAreWhole, ())
{
    plan_fixture site;
    fill_at_random(site);

    const auto made = site.make();

    auto room = site.workers;
    std::vector<std::size_t> placed(site.units.size());
    for (const auto& start : made.starts) {
        for (const auto& task : start.tasks) {
            room.at(task.worker).free -= site.units.at(start.unit).spec->need;
            ++placed.at(start.unit);
        }
    }
    for (const auto& worker : room) {
        RC_ASSERT(worker.free.accelerators >= 0);
        RC_ASSERT(worker.free.cpu_milli >= 0);
        RC_ASSERT(worker.free.memory_mb >= 0);
    }
    for (std::size_t unit = 0; unit < placed.size(); ++unit) {
        const auto& wanted = site.units.at(unit);
        RC_ASSERT(placed.at(unit) <= wanted.tasks.size());
        RC_ASSERT(!wanted.spec->gang || placed.at(unit) == 0 ||
                  placed.at(unit) == wanted.tasks.size());
    }
}

RC_GTEST_PROP(plan_model, OnlyWhatMayGiveWayIsStoppedAndOnce, ())
{
    plan_fixture site;
    fill_at_random(site);

    const auto made = site.make();

    const bool any_urgent = std::ranges::any_of(site.units, [](const work_unit& unit) {
        return unit.rank.priority == 0 && !unit.rank.overdue;
    });
    const bool any_guaranteed = std::ranges::any_of(site.units, &work_unit::guaranteed);
    std::vector<int> stops(site.victims.size());
    for (const auto stop : made.stops) {
        RC_ASSERT(any_urgent);
        RC_ASSERT(++stops.at(stop) == 1);
        const auto& stopped = site.victims.at(stop);
        RC_ASSERT(stopped.priority > 0 || (any_guaranteed && !stopped.guaranteed));
    }
}

} // namespace
} // namespace poplarstile::planning
