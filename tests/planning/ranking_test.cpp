#include "planning/ranking.hpp"

#include <gtest/gtest.h>

namespace poplarstile::planning
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A job of 2 s of work that is in time within 3.25 s.
ranking_input urgent_at(milliseconds age)
{
    ranking_input facts;
    facts.age = age;
    facts.remaining = seconds{2};
    facts.objective = milliseconds{3'250};
    return facts;
}

TEST(ranking, WorkThatCanStillBeInTimeIsInTime)
{
    EXPECT_EQ(outlook_of(urgent_at(seconds{0})), outlook::in_time);
    EXPECT_EQ(outlook_of(urgent_at(milliseconds{1'250})), outlook::in_time);
}

TEST(ranking, WorkThatEndsBeyondItsObjectiveIsLate)
{
    EXPECT_EQ(outlook_of(urgent_at(seconds{2})), outlook::late);
    EXPECT_EQ(outlook_of(urgent_at(seconds{7})), outlook::late);
}

TEST(ranking, WorkBeyondThreeObjectivesIsOverdue)
{
    EXPECT_EQ(outlook_of(urgent_at(seconds{9})), outlook::overdue);
}

TEST(ranking, GuaranteedWorkIsNeverPutBack)
{
    auto facts = urgent_at(seconds{60});
    facts.guaranteed = true;

    EXPECT_EQ(outlook_of(facts), outlook::in_time);
}

TEST(ranking, InABurstFreshWorkGoesBeforeWorkThatIsLateAlready)
{
    const auto late = rank_of(urgent_at(seconds{4}), 1'000);
    const auto fresh = rank_of(urgent_at(seconds{0}), 5'000);

    EXPECT_PRED2(goes_before, fresh, late);
}

TEST(ranking, LateUrgentWorkStillGoesBeforeLessUrgentWork)
{
    const auto late = rank_of(urgent_at(seconds{4}), 1'000);
    auto patient = urgent_at(seconds{0});
    patient.priority = 1;

    EXPECT_PRED2(goes_before, late, rank_of(patient, 900));
}

TEST(ranking, OverdueUrgentWorkWaitsForIdleRoom)
{
    const auto overdue = rank_of(urgent_at(seconds{20}), 1'000);
    auto patient = urgent_at(seconds{0});
    patient.priority = 2;

    EXPECT_PRED2(goes_before, rank_of(patient, 9'000), overdue);
}

TEST(ranking, OfEqualOutlookTheOlderGoesFirst)
{
    EXPECT_PRED2(goes_before, rank_of(urgent_at(seconds{1}), 1'000),
                 rank_of(urgent_at(seconds{0}), 2'000));
}

} // namespace
} // namespace poplarstile::planning
