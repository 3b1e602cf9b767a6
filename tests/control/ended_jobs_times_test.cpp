#include "control/ended_jobs.hpp"

#include <gtest/gtest.h>

/// The time of an end is set once, and only for a job that is known.
namespace poplarstile::control
{
namespace
{

using base::store_time;
using std::chrono::seconds;

TEST(ended_jobs_times, ATimeThatIsSetAgainDoesNotLeaveAJobThatIsGone)
{
    ended_jobs jobs;
    jobs.add({"a", 0, store_time{seconds{1}}});
    jobs.set_end("a", store_time{seconds{3}});

    EXPECT_EQ(jobs.take_ended_before(0, store_time{seconds{2}}, 10).size(), 1U);
    EXPECT_TRUE(jobs.take_ended_before(0, store_time{seconds{9}}, 10).empty());
}

TEST(ended_jobs_times, TheTimeOfAJobThatIsGoneIsIgnored)
{
    ended_jobs jobs;
    jobs.set_end("gone", store_time{seconds{1}});

    EXPECT_EQ(jobs.size(), 0U);
    EXPECT_TRUE(jobs.take_ended_before(0, store_time{seconds{9}}, 10).empty());
}

TEST(ended_jobs_times, AnUnknownTimeKeepsTheJob)
{
    ended_jobs jobs;
    jobs.add({"a", 0, std::nullopt});
    jobs.set_end("a", std::nullopt);

    EXPECT_TRUE(jobs.take_ended_before(0, store_time::max(), 10).empty());
    EXPECT_EQ(jobs.count_without_end(0), 1U);
}

} // namespace
} // namespace poplarstile::control
