#include "plan_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

/// Replays of load at its worst: what starts, what gives way, and what is left alone.
namespace poplarstile::planning
{
namespace
{

std::set<std::size_t> started(const plan& made)
{
    std::set<std::size_t> units;
    for (const auto& start : made.starts) {
        units.insert(start.unit);
    }
    return units;
}

std::set<std::size_t> workers_of(const plan& made, std::size_t unit)
{
    std::set<std::size_t> workers;
    for (const auto& start : made.starts) {
        for (const auto& task : start.tasks) {
            if (start.unit == unit) {
                workers.insert(task.worker);
            }
        }
    }
    return workers;
}

TEST(planner, AGangStartsWholeOrNotAtAll)
{
    plan_fixture site;
    site.occupy(site.add_worker("r1"), 4);
    const auto& gang = site.add_spec(2, 4, true);
    site.add_unit(gang, in_time(1, 1));

    EXPECT_TRUE(site.make().starts.empty());

    site.add_worker("r1");
    const auto made = site.make();
    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts.front().tasks.size(), 2U);
}

TEST(planner, AGangThatWantsOneRackWaitsForOne)
{
    plan_fixture site;
    for (const auto* const rack : {"r1", "r1", "r2", "r2"}) {
        site.occupy(site.add_worker(rack), 4);
    }
    auto& gang = site.add_spec(4, 4, true);
    gang.one_rack = true;
    site.add_unit(gang, in_time(1, 1));

    EXPECT_TRUE(site.make().starts.empty()) << "a rack could hold it once the others are done";
}

TEST(planner, SmallTasksFillUsedWorkersAndLeaveWholeOnesFree)
{
    plan_fixture site;
    site.add_worker("r1");
    const auto used = site.add_worker("r1");
    site.occupy(used, 5);
    const auto& small = site.add_spec(3, 1, false);
    const auto unit = site.add_unit(small, in_time(2, 1));

    EXPECT_EQ(workers_of(site.make(), unit), std::set{used});
}

TEST(planner, AGangTakesTheRackThatItFillsBest)
{
    plan_fixture site;
    for (int worker = 0; worker < 4; ++worker) {
        site.add_worker("r1");
    }
    std::set<std::size_t> small_rack;
    for (int worker = 0; worker < 2; ++worker) {
        small_rack.insert(site.add_worker("r2"));
    }
    const auto unit = site.add_unit(site.add_spec(2, 8, true), in_time(1, 1));

    EXPECT_EQ(workers_of(site.make(), unit), small_rack);
}

TEST(planner, DataNearbyGoesBeforeAnEmptyRack)
{
    plan_fixture site;
    site.add_worker("r1");
    const auto near = site.add_worker("r2");
    auto& spec = site.add_spec(1, 1, false);
    spec.data_rack = "r2";
    const auto unit = site.add_unit(spec, in_time(1, 1));

    EXPECT_EQ(workers_of(site.make(), unit), std::set{near});
}

TEST(planner, NoMoreTasksOfAStepOnAWorkerThanItAllows)
{
    plan_fixture site;
    site.add_worker("r1");
    auto& spec = site.add_spec(5, 1, false);
    spec.max_per_worker = 2;
    auto unit = site.add_unit(spec, in_time(1, 1));
    site.units.at(unit).present = {{0, 1}};

    const auto made = site.make();

    ASSERT_EQ(made.starts.size(), 1U);
    EXPECT_EQ(made.starts.front().tasks.size(), 1U);
}

TEST(planner, AnUrgentGangStopsTheCheapestWorkThatMakesRoom)
{
    plan_fixture site;
    const auto worker = site.add_worker("r1");
    const auto dear = site.add_victim(worker, 4, 2, 90.0);
    const auto cheap = site.add_victim(worker, 4, 2, 10.0);
    site.add_unit(site.add_spec(1, 4, true), in_time(0, 1));

    const auto made = site.make();

    EXPECT_EQ(made.stops, std::vector{cheap});
    EXPECT_EQ(std::ranges::count(made.stops, dear), 0);
    EXPECT_EQ(made.reserved.size(), 1U);
}

TEST(planner, CheapWorkIsSparedWhereADearerVictimHasToGoAnyway)
{
    plan_fixture site;
    const auto worker = site.add_worker("r1");
    const auto small = site.add_victim(worker, 1, 2, 5.0);
    const auto large = site.add_victim(worker, 7, 2, 50.0);
    site.add_unit(site.add_spec(1, 7, true), in_time(0, 1));

    EXPECT_EQ(site.make().stops, std::vector{large}) << small;
}

TEST(planner, LessUrgentWorkStopsNothing)
{
    plan_fixture site;
    site.add_victim(site.add_worker("r1"), 8, 2, 1.0);
    site.add_unit(site.add_spec(1, 8, true), in_time(1, 1));

    EXPECT_TRUE(site.make().stops.empty());
}

TEST(planner, OnlyGuaranteedWorkTakesRoomFromItsOwnPriority)
{
    plan_fixture site;
    site.add_victim(site.add_worker("r1"), 8, 0, 1.0);
    site.victims.front().guaranteed = false;
    const auto unit = site.add_unit(site.add_spec(1, 8, true), in_time(0, 1));

    EXPECT_TRUE(site.make().stops.empty());

    site.units.at(unit).guaranteed = true;
    EXPECT_EQ(site.make().stops.size(), 1U);
}

TEST(planner, LateWorkStopsOthersOnlyForLessThanItDoesItself)
{
    plan_fixture site;
    site.add_victim(site.add_worker("r1"), 8, 2, 40.0);
    const auto unit = site.add_unit(site.add_spec(1, 8, true), {false, 0, true, 1});

    site.units.at(unit).work = 30.0;
    EXPECT_TRUE(site.make().stops.empty());

    site.units.at(unit).work = 100.0;
    EXPECT_EQ(site.make().stops.size(), 1U);
}

TEST(planner, OverdueWorkStopsNothingAndStartsInIdleRoom)
{
    plan_fixture site;
    const auto worker = site.add_worker("r1");
    site.add_victim(worker, 4, 2, 0.0);
    const auto large = site.add_unit(site.add_spec(1, 8, true), {true, 0, false, 1});
    const auto small = site.add_unit(site.add_spec(1, 4, true), {true, 0, false, 2});

    const auto made = site.make();

    EXPECT_TRUE(made.stops.empty());
    EXPECT_EQ(started(made), std::set{small}) << large;
}

TEST(planner, AnOverdueGangNoLongerWaitsForOneRack)
{
    // Seen in a day of our own (silent-store-and-takeover, LOST 1): most of the room was free, no
    // rack had three empty workers, and a gang that was overdue waited for one until the end.
    plan_fixture site;
    for (const auto* const rack : {"r1", "r2"}) {
        site.add_worker(rack);
        site.occupy(site.add_worker(rack), 1);
    }
    auto& gang = site.add_spec(2, 8, true);
    gang.one_rack = true;
    const auto unit = site.add_unit(gang, in_time(1, 1));
    EXPECT_TRUE(site.make().starts.empty());

    site.units.at(unit).rank.overdue = true;

    EXPECT_EQ(started(site.make()), std::set{unit});
}

TEST(planner, InABurstRoomGoesToWhatIsStillInTime)
{
    plan_fixture site;
    site.add_worker("r1");
    const auto& gang = site.add_spec(1, 8, true);
    const auto late = site.add_unit(gang, {false, 0, true, 1});
    const auto fresh = site.add_unit(gang, in_time(0, 2));

    EXPECT_EQ(started(site.make()), std::set{fresh}) << late;
}

TEST(planner, RoomThatComesFreeForAGangIsNotGivenToOthers)
{
    plan_fixture site;
    const auto worker = site.add_worker("r1");
    site.workers.at(worker).free.accelerators = 4;
    site.add_unit(site.add_spec(1, 8, true), in_time(0, 1));
    site.add_unit(site.add_spec(4, 1, false), in_time(2, 2));

    const auto made = site.make();

    EXPECT_TRUE(made.starts.empty());
    EXPECT_EQ(made.reserved.size(), 1U);
}

TEST(planner, AShapeThatFoundNoRoomDoesNotKeepSmallerOnesOut)
{
    plan_fixture site;
    site.occupy(site.add_worker("r1"), 4);
    site.add_unit(site.add_spec(2, 8, true), in_time(1, 1));
    const auto smaller = site.add_unit(site.add_spec(1, 4, true), in_time(1, 2));
    site.add_unit(site.add_spec(3, 8, true), in_time(1, 3));

    EXPECT_EQ(started(site.make()), std::set{smaller});
}

TEST(planner, ClosedWorkersAndThoseOfOtherServicesGetNothing)
{
    plan_fixture site;
    site.workers.at(site.add_worker("r1")).schedulable = false;
    site.facts.at(site.add_worker("r1")).service = "another";
    site.add_unit(site.add_spec(1, 1, false), in_time(0, 1));

    EXPECT_TRUE(site.make().starts.empty());
}

TEST(planner, ARequiredLabelIsKept)
{
    plan_fixture site;
    site.add_worker("r1");
    const auto labelled = site.add_worker("r2");
    auto& spec = site.add_spec(1, 1, false);
    spec.required_label = "r2";
    const auto unit = site.add_unit(spec, in_time(0, 1));

    EXPECT_EQ(workers_of(site.make(), unit), std::set{labelled});
}

} // namespace
} // namespace poplarstile::planning
