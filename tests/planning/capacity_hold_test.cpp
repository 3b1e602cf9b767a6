#include "planning/capacity_hold.hpp"

#include "planning/plan_fixture.hpp"

#include <gtest/gtest.h>

namespace poplarstile::planning
{
namespace
{

using base::milliseconds;
using base::time_point;

constexpr time_point start{milliseconds{1'000'000}};
constexpr batch::resources two_accelerators{4'000, 8'000, 2};
constexpr batch::resources four_accelerators{8'000, 16'000, 4};

TEST(capacity_hold, WhatUrgentWorkLeftIsHeldForAShortTime)
{
    capacity_hold hold;
    hold.add(two_accelerators, start);

    EXPECT_EQ(hold.held(start + milliseconds{500}), two_accelerators);
    EXPECT_EQ(hold.held(start + milliseconds{1'500}), batch::resources{});
}

TEST(capacity_hold, UrgentWorkTakesWhatIsHeld)
{
    capacity_hold hold;
    hold.add(two_accelerators, start);
    hold.add(four_accelerators, start + milliseconds{10});
    hold.take(four_accelerators);

    EXPECT_EQ(hold.held(start + milliseconds{20}), two_accelerators);
    hold.take(four_accelerators);
    EXPECT_EQ(hold.held(start + milliseconds{20}), batch::resources{});
}

/// Urgent gangs come and go all the time on workers that other work would fill.
class urgent_hold : public testing::Test
{
protected:
    plan_fixture fixture;
};

TEST_F(urgent_hold, OtherWorkDoesNotGetWhatUrgentWorkLeft)
{
    const auto worker = fixture.add_worker("r1");
    fixture.workers.at(worker).held_for_urgent = {4'000, 4'000, 4};
    fixture.add_unit(fixture.add_spec(8, 1, false), in_time(2, 1));

    const auto plan = fixture.make();

    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().tasks.size(), 4U);
}

TEST_F(urgent_hold, UrgentWorkGetsItWithoutPreemption)
{
    const auto worker = fixture.add_worker("r1");
    fixture.add_victim(worker, 4, 2, 1.0);
    fixture.workers.at(worker).held_for_urgent = {4'000, 4'000, 4};
    const auto urgent = fixture.add_unit(fixture.add_spec(2, 2, true), in_time(0, 2));
    fixture.add_unit(fixture.add_spec(4, 1, false), in_time(2, 1));

    const auto plan = fixture.make();

    ASSERT_EQ(plan.starts.size(), 1U);
    EXPECT_EQ(plan.starts.front().unit, urgent);
    EXPECT_TRUE(plan.stops.empty());
}

TEST_F(urgent_hold, AGangOfALowerPriorityDoesNotGetItEither)
{
    const auto worker = fixture.add_worker("r1");
    fixture.workers.at(worker).held_for_urgent = {1'000, 1'000, 1};
    fixture.add_unit(fixture.add_spec(1, 8, true), in_time(1, 1));

    EXPECT_TRUE(fixture.make().starts.empty());
}

TEST_F(urgent_hold, UrgentWorkThatIsOfNoUseAnyMoreDoesNotGetIt)
{
    const auto worker = fixture.add_worker("r1");
    fixture.workers.at(worker).held_for_urgent = {8'000, 8'000, 8};
    fixture.add_unit(fixture.add_spec(1, 1, false), {true, 0, false, 1});

    EXPECT_TRUE(fixture.make().starts.empty());
}

} // namespace
} // namespace poplarstile::planning
