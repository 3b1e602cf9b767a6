#include "plan_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

/// Plans with tasks that are suspected of crashing workers, which run where nothing else runs.
namespace poplarstile::planning
{
namespace
{

constexpr std::int64_t whole_worker = plan_fixture::worker_capacity.accelerators;

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

/// Adds workers to a rack of which `used` accelerators are taken.
std::set<std::size_t> add_workers(plan_fixture& input, const std::string& rack, int count,
                                  std::int64_t used)
{
    std::set<std::size_t> added;
    for (int index = 0; index < count; ++index) {
        added.insert(input.add_worker(rack));
        if (used > 0) {
            input.occupy(*added.rbegin(), used);
        }
    }
    return added;
}

TEST(isolation, ASuspectIsPlacedOnlyWhereNothingElseRuns)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 1);
    const auto suspect = input.add_isolated_unit(input.add_spec(1, 1, false), in_time(0, 1));

    EXPECT_TRUE(input.make().starts.empty());

    const auto idle = add_workers(input, "r1", 1, 0);
    const auto result = input.make();
    EXPECT_EQ(workers_of(result, suspect), idle);
    EXPECT_TRUE(result.starts.front().isolated);
}

TEST(isolation, NothingElseIsPlacedNextToASuspectInTheSamePlan)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 0);
    const auto others = input.add_unit(input.add_spec(40, 1, false), in_time(1, 1));
    const auto suspect = input.add_isolated_unit(input.add_spec(2, 1, false), in_time(2, 2));

    const auto result = input.make();

    const auto closed = workers_of(result, suspect);
    ASSERT_EQ(closed.size(), 1U);
    EXPECT_EQ(workers_of(result, others).size(), 3U);
    EXPECT_FALSE(workers_of(result, others).contains(*closed.begin()));
}

TEST(isolation, NothingIsPlacedNextToARunningSuspect)
{
    plan_fixture input;
    const auto closed = input.add_worker("r1");
    input.occupy(closed, 1);
    input.workers.at(closed).isolated = true;
    const auto open = add_workers(input, "r1", 1, 0);
    auto unit = input.add_unit(input.add_spec(12, 1, false), in_time(0, 1));
    input.units.at(unit).guaranteed = true;

    EXPECT_EQ(workers_of(input.make(), unit), open);
}

TEST(isolation, TheLeastUsedWorkerIsHeldBackForASuspect)
{
    plan_fixture input;
    for (const auto used : {5, 3, 1, 4}) {
        add_workers(input, "r1", 1, used);
    }
    input.add_isolated_unit(input.add_spec(1, 1, false), in_time(2, 1));
    const auto others = input.add_unit(input.add_spec(40, 1, false), in_time(0, 2));

    EXPECT_EQ(workers_of(input.make(), others), (std::set<std::size_t>{0, 1, 3}));
}

TEST(isolation, AWorkerWithWorkThatDoesNotEndIsNotHeldBack)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 3);
    const auto lasting = *add_workers(input, "r1", 1, 1).begin();
    input.workers.at(lasting).holds_lasting_work = true;
    input.add_isolated_unit(input.add_spec(1, 1, false), in_time(2, 1));
    const auto others = input.add_unit(input.add_spec(40, 1, false), in_time(0, 2));

    const auto used = workers_of(input.make(), others);

    EXPECT_EQ(used.size(), 4U);
    EXPECT_TRUE(used.contains(lasting));
}

TEST(isolation, GuaranteedWorkUsesAHeldBackWorker)
{
    plan_fixture input;
    add_workers(input, "r1", 3, whole_worker);
    const auto idle = add_workers(input, "r1", 1, 0);
    const auto suspect = input.add_isolated_unit(input.add_spec(1, 1, false), in_time(0, 1));
    const auto guaranteed = input.add_unit(input.add_spec(1, whole_worker, true), in_time(0, 2));
    input.units.at(guaranteed).guaranteed = true;

    const auto result = input.make();

    EXPECT_EQ(workers_of(result, guaranteed), idle);
    EXPECT_TRUE(workers_of(result, suspect).empty());
}

TEST(isolation, AtMostAQuarterOfTheWorkersIsHeldBack)
{
    plan_fixture input;
    add_workers(input, "r1", 12, 1);
    const auto closed = input.add_worker("r1");
    input.workers.at(closed).isolated = true;
    for (int suspect = 0; suspect < 9; ++suspect) {
        input.add_isolated_unit(input.add_spec(1, 1, false), in_time(0, suspect));
    }
    const auto others = input.add_unit(input.add_spec(200, 1, false), in_time(1, 100));

    EXPECT_EQ(workers_of(input.make(), others).size(), 10U);
}

TEST(isolation, AGangWiderThanAQuarterOfTheWorkersIsPlacedAsAnyOther)
{
    plan_fixture input;
    add_workers(input, "r1", 6, 1);
    const auto gang = input.add_isolated_unit(input.add_spec(2, 5, true), in_time(1, 1));

    const auto result = input.make();

    EXPECT_EQ(workers_of(result, gang).size(), 2U);
    EXPECT_FALSE(result.starts.front().isolated);
}

TEST(isolation, TheOnlyWorkerOfAServiceIsNotHeldBack)
{
    plan_fixture input;
    const auto only = add_workers(input, "r1", 1, 1);
    const auto suspect = input.add_isolated_unit(input.add_spec(1, 1, false), in_time(1, 1));

    EXPECT_EQ(workers_of(input.make(), suspect), only);
}

TEST(isolation, AGangIsHeldTogetherInOneRack)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 2);
    add_workers(input, "r2", 1, 1);
    const auto rack = add_workers(input, "r3", 3, 0);
    auto& spec = input.add_spec(2, whole_worker, true);
    spec.one_rack = true;
    const auto gang = input.add_isolated_unit(spec, in_time(1, 1));

    const auto workers = workers_of(input.make(), gang);

    EXPECT_EQ(workers.size(), 2U);
    EXPECT_TRUE(std::ranges::includes(rack, workers));
}

TEST(isolation, AGangDoesNotWaitForARackWithWorkThatDoesNotEnd)
{
    plan_fixture input;
    for (const auto* const rack : {"r1", "r2"}) {
        add_workers(input, rack, 1, 0);
        for (const auto worker : add_workers(input, rack, 3, 1)) {
            input.workers.at(worker).holds_lasting_work = true;
        }
    }
    auto& spec = input.add_spec(2, whole_worker, true);
    spec.one_rack = true;
    const auto gang = input.add_isolated_unit(spec, in_time(1, 1));

    EXPECT_EQ(workers_of(input.make(), gang), (std::set<std::size_t>{0, 4}));
}

TEST(isolation, ALaterSuspectDoesNotTakeTheWorkersOfAGangThatWaits)
{
    plan_fixture input;
    add_workers(input, "r1", 11, 1);
    add_workers(input, "r1", 1, 0);
    const auto gang = input.add_isolated_unit(input.add_spec(2, whole_worker, true), in_time(2, 1));
    const auto later = input.add_isolated_unit(input.add_spec(1, 1, false), in_time(0, 2));

    const auto result = input.make();

    EXPECT_TRUE(workers_of(result, gang).empty());
    EXPECT_TRUE(workers_of(result, later).empty());
}

TEST(isolation, IdleWorkersThatNothingElseWantsTakeSuspectsBeyondTheQuarter)
{
    plan_fixture input;
    add_workers(input, "r1", 8, 0);
    std::vector<std::size_t> suspects;
    suspects.reserve(3);
    for (int index = 0; index < 3; ++index) {
        suspects.push_back(
            input.add_isolated_unit(input.add_spec(2, whole_worker, true), in_time(1, index)));
    }

    const auto result = input.make();

    EXPECT_EQ(workers_of(result, suspects.at(0)).size(), 2U);
    EXPECT_EQ(workers_of(result, suspects.at(1)).size(), 2U);
    EXPECT_TRUE(workers_of(result, suspects.at(2)).empty()) << "half of the workers stays open";
    EXPECT_TRUE(std::ranges::all_of(result.starts, &placed_unit::isolated));

    input.units.at(suspects.at(2)).waited = base::milliseconds{2'000};
    EXPECT_EQ(workers_of(input.make(), suspects.at(2)).size(), 2U);
}

TEST(isolation, OtherWorkGetsIdleWorkersBeyondTheQuarterFirst)
{
    plan_fixture input;
    add_workers(input, "r1", 8, 0);
    std::vector<std::size_t> suspects;
    suspects.reserve(3);
    for (int index = 0; index < 3; ++index) {
        suspects.push_back(input.add_isolated_unit(input.add_spec(1, 1, false), in_time(0, index)));
    }
    const auto others = input.add_unit(input.add_spec(6, whole_worker, false), {true, 2, false, 9});

    const auto result = input.make();

    EXPECT_EQ(workers_of(result, others).size(), 6U);
    EXPECT_TRUE(workers_of(result, suspects.at(2)).empty());
}

TEST(isolation, ALaterSuspectPassesAGangThatHasToWaitForALimitedTime)
{
    plan_fixture input;
    for (const auto worker : add_workers(input, "r1", 2, 1)) {
        input.workers.at(worker).isolated = true;
    }
    const auto idle = add_workers(input, "r1", 1, 0);
    add_workers(input, "r1", 5, 1);
    const auto gang = input.add_isolated_unit(input.add_spec(2, whole_worker, true), in_time(1, 1));
    const auto later = input.add_isolated_unit(input.add_spec(1, 1, false), in_time(1, 2));

    EXPECT_EQ(workers_of(input.make(), later), idle);

    input.units.at(gang).waited = base::milliseconds{10'000};
    EXPECT_TRUE(workers_of(input.make(), later).empty());
}

TEST(isolation, AWorkerIsNotHeldForAGangThatCannotStartWhileOthersWaitBesideMuchFreeCapacity)
{
    plan_fixture input;
    const auto idle = add_workers(input, "r1", 1, 0);
    add_workers(input, "r1", 7, 1);
    input.add_isolated_unit(input.add_spec(2, whole_worker, true), in_time(1, 1));
    const auto other = input.add_unit(input.add_spec(1, whole_worker, true), in_time(1, 2));
    EXPECT_TRUE(workers_of(input.make(), other).empty());

    input.units.at(other).waited = base::milliseconds{2'000};

    EXPECT_EQ(workers_of(input.make(), other), idle);
}

TEST(isolation, LimitLabelAndRackOfTheDataAreRespected)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 0);
    const auto labelled = add_workers(input, "r2", 4, 0);
    auto& limited = input.add_spec(2, 1, false);
    limited.max_per_worker = 1;
    limited.required_label = "r2";
    const auto unit = input.add_isolated_unit(limited, in_time(1, 1));
    const auto workers = workers_of(input.make(), unit);
    EXPECT_EQ(workers.size(), 2U);
    EXPECT_TRUE(std::ranges::includes(labelled, workers));

    limited.required_label.clear();
    limited.data_rack = "r2";
    EXPECT_TRUE(std::ranges::includes(labelled, workers_of(input.make(), unit)));
}

TEST(isolation, ASuspectPreemptsNothing)
{
    plan_fixture input;
    for (int worker = 0; worker < 4; ++worker) {
        input.add_victim(input.add_worker("r1"), 1, 2, 1.0);
    }
    const auto suspect = input.add_isolated_unit(input.add_spec(1, 1, true), in_time(0, 1));
    input.units.at(suspect).guaranteed = true;

    EXPECT_TRUE(input.make().stops.empty());
}

TEST(isolation, AWaitingSuspectDoesNotImplyThatOtherGangsFail)
{
    plan_fixture input;
    add_workers(input, "r1", 4, 1);
    const auto& spec = input.add_spec(1, 2, true);
    input.add_isolated_unit(spec, in_time(1, 1));
    const auto gang = input.add_unit(spec, in_time(1, 2));

    EXPECT_EQ(workers_of(input.make(), gang).size(), 1U);
}

TEST(isolation, AFailedGangDoesNotImplyThatASuspectFails)
{
    plan_fixture input;
    add_workers(input, "r1", 3, 1);
    const auto idle = add_workers(input, "r1", 1, 0);
    const auto& wide = input.add_spec(2, whole_worker, true);
    input.add_unit(wide, in_time(1, 1));
    const auto suspect =
        input.add_isolated_unit(input.add_spec(1, whole_worker, true), in_time(1, 2));

    EXPECT_EQ(workers_of(input.make(), suspect), idle);
}

} // namespace
} // namespace poplarstile::planning
