#include "planning/plan_pause.hpp"

#include <gtest/gtest.h>

namespace poplarstile::planning
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

TEST(plan_pause, ThePauseAfterAQuickPlanIsTheMinimum)
{
    EXPECT_EQ(pause_after_plan(milliseconds{0}), milliseconds{8});
    EXPECT_EQ(pause_after_plan(milliseconds{1}), milliseconds{8});
}

TEST(plan_pause, ASlowPlanTakesAQuarterOfTheTime)
{
    EXPECT_EQ(pause_after_plan(milliseconds{20}), milliseconds{60});
}

TEST(plan_pause, ThePauseIsBoundedWhenTheVmIsSuspendedDuringAPlan)
{
    EXPECT_EQ(pause_after_plan(seconds{5}), milliseconds{150});
}

} // namespace
} // namespace poplarstile::planning
