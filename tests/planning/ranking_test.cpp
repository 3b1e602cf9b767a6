#include "planning/ranking.hpp"

#include <gtest/gtest.h>

namespace poplarstile::planning
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Input for a job with 2 s of work and an objective of 3.25 s.
ranking_input urgent_at(milliseconds age)
{
    ranking_input facts;
    facts.age = age;
    facts.remaining = seconds{2};
    facts.objective = milliseconds{3'250};
    return facts;
}

TEST(ranking, WorkThatCanMeetItsObjectiveIsInTime)
{
    EXPECT_EQ(timeliness_of(urgent_at(seconds{0})), timeliness::in_time);
    EXPECT_EQ(timeliness_of(urgent_at(milliseconds{1'250})), timeliness::in_time);
}

TEST(ranking, WorkThatEndsAfterItsObjectiveIsLate)
{
    EXPECT_EQ(timeliness_of(urgent_at(seconds{2})), timeliness::late);
    EXPECT_EQ(timeliness_of(urgent_at(seconds{7})), timeliness::late);
}

TEST(ranking, WorkThatEndsAfterThreeTimesItsObjectiveIsOverdue)
{
    EXPECT_EQ(timeliness_of(urgent_at(seconds{9})), timeliness::overdue);
}

TEST(ranking, GuaranteedWorkIsAlwaysInTime)
{
    auto facts = urgent_at(seconds{60});
    facts.guaranteed = true;

    EXPECT_EQ(timeliness_of(facts), timeliness::in_time);
}

TEST(ranking, WorkThatCanMeetItsObjectiveRanksBeforeOlderLateWork)
{
    const auto late = rank_of(urgent_at(seconds{4}), 1'000);
    const auto fresh = rank_of(urgent_at(seconds{0}), 5'000);

    EXPECT_PRED2(ranks_before, fresh, late);
}

TEST(ranking, LateUrgentWorkRanksBeforeLessUrgentWork)
{
    const auto late = rank_of(urgent_at(seconds{4}), 1'000);
    auto less_urgent = urgent_at(seconds{0});
    less_urgent.priority = 1;

    EXPECT_PRED2(ranks_before, late, rank_of(less_urgent, 900));
}

TEST(ranking, OverdueUrgentWorkRanksAfterLessUrgentWork)
{
    const auto overdue = rank_of(urgent_at(seconds{20}), 1'000);
    auto less_urgent = urgent_at(seconds{0});
    less_urgent.priority = 2;

    EXPECT_PRED2(ranks_before, rank_of(less_urgent, 9'000), overdue);
}

TEST(ranking, OlderWorkOfEqualTimelinessRanksFirst)
{
    EXPECT_PRED2(ranks_before, rank_of(urgent_at(seconds{1}), 1'000),
                 rank_of(urgent_at(seconds{0}), 2'000));
}

} // namespace
} // namespace poplarstile::planning
