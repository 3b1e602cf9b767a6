#include "planning/plan_pace.hpp"

#include <gtest/gtest.h>

namespace poplarstile::planning
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

TEST(plan_pace, QuickPlansFollowEachOtherClosely)
{
    EXPECT_EQ(rest_after(milliseconds{0}), milliseconds{8});
    EXPECT_EQ(rest_after(milliseconds{1}), milliseconds{8});
}

TEST(plan_pace, SlowPlansLeaveThreeQuartersOfTheProcessorToOthers)
{
    EXPECT_EQ(rest_after(milliseconds{20}), milliseconds{60});
}

TEST(plan_pace, AVmThatStoodStillDuringAPlanPlansAgainSoon)
{
    EXPECT_EQ(rest_after(seconds{5}), milliseconds{150});
}

} // namespace
} // namespace poplarstile::planning
