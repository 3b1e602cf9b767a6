#include "control/ended_jobs.hpp"

#include <gtest/gtest.h>

namespace poplarstile::control
{
namespace
{

using base::store_time;
using std::chrono::seconds;

std::vector<std::string> ids_of(const std::vector<ended_job>& jobs)
{
    std::vector<std::string> ids;
    ids.reserve(jobs.size());
    for (const auto& job : jobs) {
        ids.push_back(job.id);
    }
    return ids;
}

TEST(ended_jobs, AnEarlyEndIsTakenThoughALaterOneWasAddedFirst)
{
    ended_jobs jobs;
    EXPECT_TRUE(jobs.add({"late", 0, store_time{seconds{90}}}));
    EXPECT_TRUE(jobs.add({"early", 0, store_time{seconds{10}}}));

    EXPECT_EQ(ids_of(jobs.take_ended_before(0, store_time{seconds{50}}, 10)),
              std::vector<std::string>{"early"});
    EXPECT_TRUE(jobs.contains("late"));
    EXPECT_FALSE(jobs.contains("early"));
}

TEST(ended_jobs, AJobWithoutAKnownEndIsNeverTaken)
{
    ended_jobs jobs;
    jobs.add({"unknown", 0, std::nullopt});

    EXPECT_TRUE(jobs.take_ended_before(0, store_time::max(), 10).empty());
    EXPECT_EQ(jobs.count_without_end(0), 1U);

    jobs.set_end("unknown", store_time{seconds{1}});
    EXPECT_EQ(jobs.count_without_end(0), 0U);
    EXPECT_EQ(jobs.take_ended_before(0, store_time::max(), 10).size(), 1U);
}

TEST(ended_jobs, OnlyJobsOfTheGivenPartAreTaken)
{
    ended_jobs jobs;
    jobs.add({"a", 0, store_time{seconds{1}}});
    jobs.add({"b", 1, store_time{seconds{1}}});

    EXPECT_EQ(ids_of(jobs.take_ended_before(1, store_time{seconds{2}}, 10)),
              std::vector<std::string>{"b"});
    EXPECT_EQ(jobs.part_of("a"), 0U);
    EXPECT_EQ(jobs.part_of("b"), std::nullopt);
}

TEST(ended_jobs, TheFirstEndOfAJobStays)
{
    ended_jobs jobs;
    EXPECT_TRUE(jobs.add({"a", 0, store_time{seconds{1}}}));

    EXPECT_FALSE(jobs.add({"a", 1, store_time{seconds{2}}}));
    jobs.set_end("a", store_time{seconds{3}});

    EXPECT_EQ(jobs.part_of("a"), 0U);
    EXPECT_EQ(jobs.take_ended_before(0, store_time{seconds{2}}, 10).size(), 1U);
    EXPECT_EQ(jobs.size(), 0U);
}

TEST(ended_jobs, AHeldJobIsTakenOnlyOnceEachHoldIsReleased)
{
    ended_jobs jobs;
    jobs.hold("held");
    jobs.add({"held", 0, store_time{seconds{1}}});
    jobs.add({"free", 0, store_time{seconds{2}}});
    jobs.hold("held");
    jobs.release("held");

    EXPECT_EQ(ids_of(jobs.take_ended_before(0, store_time{seconds{3}}, 10)),
              std::vector<std::string>{"free"});

    jobs.release("held");
    EXPECT_EQ(ids_of(jobs.take_ended_before(0, store_time{seconds{3}}, 10)),
              std::vector<std::string>{"held"});
}

TEST(ended_jobs, NoMoreThanTheGivenNumberAreTakenAtOnce)
{
    ended_jobs jobs;
    for (const auto* const id : {"a", "b", "c"}) {
        jobs.add({id, 0, store_time{seconds{1}}});
    }

    EXPECT_EQ(jobs.take_ended_before(0, store_time{seconds{2}}, 2).size(), 2U);
    EXPECT_EQ(jobs.size(), 1U);
}

} // namespace
} // namespace poplarstile::control
