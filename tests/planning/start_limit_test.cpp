#include "planning/start_limit.hpp"

#include <gtest/gtest.h>

#include <array>
#include <numeric>
#include <vector>

namespace poplarstile::tests
{
namespace
{

using planning::limit_starts;
using planning::placed_unit;
using planning::work_unit;

/// Units that a plan has placed on worker 0.
class start_limit : public testing::Test
{
protected:
    void place(std::uint32_t tasks, bool gang)
    {
        specs_[units.size()].gang = gang;
        work_unit unit;
        unit.spec = &specs_[units.size()];
        placed_unit start;
        start.unit = units.size();
        for (std::uint32_t task = 0; task < tasks; ++task) {
            start.tasks.push_back({task, 0});
        }
        units.push_back(unit);
        placed.push_back(start);
    }

    static std::size_t tasks_of(const planning::limited_starts& limited)
    {
        return std::accumulate(
            limited.starts.begin(), limited.starts.end(), std::size_t{0},
            [](std::size_t sum, const placed_unit& unit) { return sum + unit.tasks.size(); });
    }

    std::vector<work_unit> units;
    std::vector<placed_unit> placed;

private:
    std::array<batch::step_spec, 64> specs_{};
};

TEST_F(start_limit, APlanBelowTheLimitIsStartedWhole)
{
    place(10, true);
    place(20, false);

    const auto limited = limit_starts(units, placed, 5, 100);

    EXPECT_EQ(tasks_of(limited), 30U);
    EXPECT_EQ(limited.held_back, 0U);
}

TEST_F(start_limit, OfABacklogOfWideJobsOnlyWhatFitsIsStarted)
{
    for (int job = 0; job < 30; ++job) {
        place(38, false);
    }

    const auto limited = limit_starts(units, placed, 0, 256);

    EXPECT_EQ(tasks_of(limited), 256U);
    EXPECT_EQ(limited.held_back, 30U * 38U - 256U);
    EXPECT_EQ(limited.starts.front().unit, 0U) << "the first of the plan's order comes first";
}

TEST_F(start_limit, AGangIsStartedWholeOrNotAtAll)
{
    place(13, true);
    place(13, true);

    const auto limited = limit_starts(units, placed, 0, 10);

    ASSERT_EQ(limited.starts.size(), 1U);
    EXPECT_EQ(limited.starts.front().tasks.size(), 13U);
    EXPECT_EQ(limited.held_back, 13U);
}

TEST_F(start_limit, NothingIsStartedWhileTooManyStartsAreUnderWay)
{
    place(1, false);

    const auto limited = limit_starts(units, placed, 64, 64);

    EXPECT_TRUE(limited.starts.empty());
    EXPECT_EQ(limited.held_back, 1U);
}

} // namespace
} // namespace poplarstile::tests
