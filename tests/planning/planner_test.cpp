#include "plan_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

/// Plans for load patterns that are hard to schedule: what starts, what is preempted, and what
/// keeps running.
namespace poplarstile::planning
{
namespace
{

std::set<std::size_t> started(const plan& result)
{
    std::set<std::size_t> units;
    for (const auto& start : result.starts) {
        units.insert(start.unit);
    }
    return units;
}

std::set<std::size_t> workers_of(const plan& result, std::size_t unit)
{
    std::set<std::size_t> workers;
    for (const auto& start : result.starts) {
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
    plan_fixture input;
    input.occupy(input.add_worker("r1"), 4);
    const auto& gang = input.add_spec(2, 4, true);
    input.add_unit(gang, in_time(1, 1));

    EXPECT_TRUE(input.make().starts.empty());

    input.add_worker("r1");
    const auto result = input.make();
    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts.front().tasks.size(), 2U);
}

TEST(planner, AGangThatRequiresOneRackWaitsForOne)
{
    plan_fixture input;
    for (const auto* const rack : {"r1", "r1", "r2", "r2"}) {
        input.occupy(input.add_worker(rack), 4);
    }
    auto& gang = input.add_spec(4, 4, true);
    gang.one_rack = true;
    input.add_unit(gang, in_time(1, 1));

    EXPECT_TRUE(input.make().starts.empty()) << "one rack can hold it once the other work is done";
}

TEST(planner, SmallTasksGoToUsedWorkersAndLeaveEmptyOnesFree)
{
    plan_fixture input;
    input.add_worker("r1");
    const auto used = input.add_worker("r1");
    input.occupy(used, 5);
    const auto& small = input.add_spec(3, 1, false);
    const auto unit = input.add_unit(small, in_time(2, 1));

    EXPECT_EQ(workers_of(input.make(), unit), std::set{used});
}

TEST(planner, AGangGoesToTheRackWithTheFewestSlotsLeft)
{
    plan_fixture input;
    for (int worker = 0; worker < 4; ++worker) {
        input.add_worker("r1");
    }
    std::set<std::size_t> small_rack;
    for (int worker = 0; worker < 2; ++worker) {
        small_rack.insert(input.add_worker("r2"));
    }
    const auto unit = input.add_unit(input.add_spec(2, 8, true), in_time(1, 1));

    EXPECT_EQ(workers_of(input.make(), unit), small_rack);
}

TEST(planner, TheRackOfTheDataIsPreferred)
{
    plan_fixture input;
    input.add_worker("r1");
    const auto near = input.add_worker("r2");
    auto& spec = input.add_spec(1, 1, false);
    spec.data_rack = "r2";
    const auto unit = input.add_unit(spec, in_time(1, 1));

    EXPECT_EQ(workers_of(input.make(), unit), std::set{near});
}

TEST(planner, TheLimitOfTasksPerWorkerIsKept)
{
    plan_fixture input;
    input.add_worker("r1");
    auto& spec = input.add_spec(5, 1, false);
    spec.max_per_worker = 2;
    auto unit = input.add_unit(spec, in_time(1, 1));
    input.units.at(unit).present = {{0, 1}};

    const auto result = input.make();

    ASSERT_EQ(result.starts.size(), 1U);
    EXPECT_EQ(result.starts.front().tasks.size(), 1U);
}

TEST(planner, AnUrgentGangPreemptsTheCheapestSufficientVictim)
{
    plan_fixture input;
    const auto worker = input.add_worker("r1");
    const auto costly = input.add_victim(worker, 4, 2, 90.0);
    const auto cheap = input.add_victim(worker, 4, 2, 10.0);
    input.add_unit(input.add_spec(1, 4, true), in_time(0, 1));

    const auto result = input.make();

    EXPECT_EQ(result.stops, std::vector{cheap});
    EXPECT_EQ(std::ranges::count(result.stops, costly), 0);
    EXPECT_EQ(result.reserved.size(), 1U);
}

TEST(planner, ACheapVictimIsSparedWhenACostlierOneIsSufficient)
{
    plan_fixture input;
    const auto worker = input.add_worker("r1");
    const auto small = input.add_victim(worker, 1, 2, 5.0);
    const auto large = input.add_victim(worker, 7, 2, 50.0);
    input.add_unit(input.add_spec(1, 7, true), in_time(0, 1));

    EXPECT_EQ(input.make().stops, std::vector{large}) << small;
}

TEST(planner, LessUrgentWorkPreemptsNothing)
{
    plan_fixture input;
    input.add_victim(input.add_worker("r1"), 8, 2, 1.0);
    input.add_unit(input.add_spec(1, 8, true), in_time(1, 1));

    EXPECT_TRUE(input.make().stops.empty());
}

TEST(planner, OnlyGuaranteedWorkPreemptsItsOwnPriority)
{
    plan_fixture input;
    input.add_victim(input.add_worker("r1"), 8, 0, 1.0);
    input.victims.front().guaranteed = false;
    const auto unit = input.add_unit(input.add_spec(1, 8, true), in_time(0, 1));

    EXPECT_TRUE(input.make().stops.empty());

    input.units.at(unit).guaranteed = true;
    EXPECT_EQ(input.make().stops.size(), 1U);
}

TEST(planner, LateWorkPreemptsOnlyUpToAFractionOfItsOwnWork)
{
    plan_fixture input;
    input.add_victim(input.add_worker("r1"), 8, 2, 40.0);
    const auto unit = input.add_unit(input.add_spec(1, 8, true), {false, 0, true, 1});

    input.units.at(unit).work = 30.0;
    EXPECT_TRUE(input.make().stops.empty());

    input.units.at(unit).work = 100.0;
    EXPECT_EQ(input.make().stops.size(), 1U);
}

TEST(planner, OverdueWorkPreemptsNothingAndUsesIdleCapacity)
{
    plan_fixture input;
    const auto worker = input.add_worker("r1");
    input.add_victim(worker, 4, 2, 0.0);
    const auto large = input.add_unit(input.add_spec(1, 8, true), {true, 0, false, 1});
    const auto small = input.add_unit(input.add_spec(1, 4, true), {true, 0, false, 2});

    const auto result = input.make();

    EXPECT_TRUE(result.stops.empty());
    EXPECT_EQ(started(result), std::set{small}) << large;
}

TEST(planner, AnOverdueGangNoLongerWaitsForOneRack)
{
    // Regression: in scenario silent-store-and-takeover (LOST 1), most of the capacity was free,
    // but no rack had three empty workers, and an overdue gang waited for one until the end.
    plan_fixture input;
    for (const auto* const rack : {"r1", "r2"}) {
        input.add_worker(rack);
        input.occupy(input.add_worker(rack), 1);
    }
    auto& gang = input.add_spec(2, 8, true);
    gang.one_rack = true;
    const auto unit = input.add_unit(gang, in_time(1, 1));
    EXPECT_TRUE(input.make().starts.empty());

    input.units.at(unit).rank.overdue = true;

    EXPECT_EQ(started(input.make()), std::set{unit});
}

TEST(planner, UrgentTasksDoNotReserveFreeCapacityThatTheyCouldUse)
{
    plan_fixture input;
    input.occupy(input.add_worker("r1"), 8);
    const auto remote = input.add_worker("r2");
    auto& spec = input.add_spec(1, 8, false);
    spec.data_rack = "r1";
    const auto unit = input.add_unit(spec, in_time(0, 1));

    EXPECT_EQ(workers_of(input.make(), unit), std::set{remote});
}

TEST(planner, AnUrgentGangDoesNotReserveFreeCapacityOfSeveralRacksThatItCouldUse)
{
    plan_fixture input;
    const std::set<std::size_t> all{input.add_worker("r1"), input.add_worker("r2")};
    for (const auto* const rack : {"r1", "r2"}) {
        input.occupy(input.add_worker(rack), 1);
    }
    auto& gang = input.add_spec(2, 8, true);
    gang.one_rack = true;
    const auto unit = input.add_unit(gang, in_time(0, 1));

    EXPECT_EQ(workers_of(input.make(), unit), all);
}

/// Leaves nothing free on the worker.
void fill(plan_fixture& input, std::size_t worker)
{
    input.workers.at(worker).free = {};
    input.workers.at(worker).free_after_stops = {};
    input.workers.at(worker).occupied = true;
}

/// A gang of two whole workers that prefers one rack, none of which has two empty workers.
std::size_t add_gang_without_a_rack(plan_fixture& input, base::milliseconds waited)
{
    auto& gang = input.add_spec(2, 8, true);
    gang.one_rack = true;
    const auto unit = input.add_unit(gang, in_time(1, 1));
    input.units.at(unit).waited = waited;
    return unit;
}

TEST(planner, AGangIsNotKeptFromMuchFreeCapacityForOneRack)
{
    plan_fixture input;
    for (const auto* const rack : {"r1", "r2", "r3", "r4"}) {
        input.add_worker(rack);
        input.occupy(input.add_worker(rack), 1);
    }
    const auto unit = add_gang_without_a_rack(input, base::milliseconds{1'999});
    EXPECT_TRUE(input.make().starts.empty());

    input.units.at(unit).waited = base::milliseconds{2'000};

    EXPECT_EQ(started(input.make()), std::set{unit});
}

TEST(planner, AGangDoesNotWaitForOneRackLongerThanThatSaves)
{
    plan_fixture input;
    for (const auto* const rack : {"r1", "r2"}) {
        input.add_worker(rack);
        fill(input, input.add_worker(rack));
    }
    const auto unit = add_gang_without_a_rack(input, base::milliseconds{3'999});
    EXPECT_TRUE(input.make().starts.empty());

    input.units.at(unit).waited = base::milliseconds{4'000};

    EXPECT_EQ(started(input.make()), std::set{unit});
}

TEST(planner, AGangThatWaitsForOneRackImpliesNoFailureOfOneThatNoLongerDoes)
{
    plan_fixture input;
    for (const auto* const rack : {"r1", "r2"}) {
        input.add_worker(rack);
        fill(input, input.add_worker(rack));
    }
    add_gang_without_a_rack(input, base::milliseconds{0});
    const auto longer = add_gang_without_a_rack(input, base::milliseconds{4'000});

    EXPECT_EQ(started(input.make()), std::set{longer});
}

TEST(planner, CapacityGoesToWorkThatCanMeetItsObjectiveFirst)
{
    plan_fixture input;
    input.add_worker("r1");
    const auto& gang = input.add_spec(1, 8, true);
    const auto late = input.add_unit(gang, {false, 0, true, 1});
    const auto fresh = input.add_unit(gang, in_time(0, 2));

    EXPECT_EQ(started(input.make()), std::set{fresh}) << late;
}

TEST(planner, CapacityReservedForAGangIsNotGivenToOthers)
{
    plan_fixture input;
    const auto worker = input.add_worker("r1");
    input.workers.at(worker).free.accelerators = 4;
    input.add_unit(input.add_spec(1, 8, true), in_time(0, 1));
    input.add_unit(input.add_spec(4, 1, false), in_time(2, 2));

    const auto result = input.make();

    EXPECT_TRUE(result.starts.empty());
    EXPECT_EQ(result.reserved.size(), 1U);
}

TEST(planner, AFailedRequestDoesNotBlockSmallerOnes)
{
    plan_fixture input;
    input.occupy(input.add_worker("r1"), 4);
    input.add_unit(input.add_spec(2, 8, true), in_time(1, 1));
    const auto smaller = input.add_unit(input.add_spec(1, 4, true), in_time(1, 2));
    input.add_unit(input.add_spec(3, 8, true), in_time(1, 3));

    EXPECT_EQ(started(input.make()), std::set{smaller});
}

TEST(planner, UnschedulableWorkersAndThoseOfOtherServicesGetNothing)
{
    plan_fixture input;
    input.workers.at(input.add_worker("r1")).schedulable = false;
    input.facts.at(input.add_worker("r1")).service = "another";
    input.add_unit(input.add_spec(1, 1, false), in_time(0, 1));

    EXPECT_TRUE(input.make().starts.empty());
}

TEST(planner, ARequiredLabelIsRespected)
{
    plan_fixture input;
    input.add_worker("r1");
    const auto labelled = input.add_worker("r2");
    auto& spec = input.add_spec(1, 1, false);
    spec.required_label = "r2";
    const auto unit = input.add_unit(spec, in_time(0, 1));

    EXPECT_EQ(workers_of(input.make(), unit), std::set{labelled});
}

// A worker whose capacity has shrunk below what runs there gets no work that needs nothing of the
// exceeded resource either.
TEST(planner, AWorkerThatIsOverItsCapacityGetsNothing)
{
    plan_fixture input;
    input.occupy(input.add_worker("r1"), plan_fixture::worker_capacity.accelerators + 4);
    input.add_unit(input.add_spec(2, 0, false), in_time(1, 1));
    input.add_unit(input.add_spec(2, 0, true), in_time(1, 1));

    EXPECT_TRUE(input.make().starts.empty());

    const auto other = input.add_worker("r1");
    EXPECT_EQ(workers_of(input.make(), 0), std::set{other});
    EXPECT_EQ(workers_of(input.make(), 1), std::set{other});
}

} // namespace
} // namespace poplarstile::planning
