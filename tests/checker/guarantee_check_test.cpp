#include "bench/checker/promises.hpp"

#include <gtest/gtest.h>

namespace poplarstile::bench::checker
{
namespace
{

constexpr wall_us second = 1'000'000;

/// One workspace with one guaranteed 4x8 shape, and a job of it that never started.
history waiting_job()
{
    history seen;
    seen.observed_until = 100 * second;
    seen.guarantees = {
        {.workspace = "clubs", .domain = "bole", .count = 1, .members = 4, .accelerators = 8}};
    seen.jobs = {{.job = "j1",
                  .workspace = "clubs",
                  .domain = "bole",
                  .members = 4,
                  .accelerators = 8,
                  .submitted = 10 * second,
                  .state = "queued"}};
    return seen;
}

void run_job(history& seen, const std::string& job, wall_us from, wall_us until)
{
    seen.tasks.push_back({.worker = "w1",
                          .task = job + "-0",
                          .job = job,
                          .held = from,
                          .released = from,
                          .ended = until,
                          .state = "completed"});
}

TEST(check_guarantees, finds_a_job_that_its_guarantee_should_have_started)
{
    const auto found = check(waiting_job(), {});

    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0].broken, promise::guarantee_reclaimable);
    EXPECT_EQ(found[0].subject, "j1");
}

TEST(check_guarantees, finds_a_job_that_started_too_late)
{
    auto seen = waiting_job();
    run_job(seen, "j1", 21 * second, 30 * second);

    EXPECT_EQ(count_of(check(seen, {}), promise::guarantee_reclaimable), 1);
}

TEST(check_guarantees, accepts_a_start_within_the_reclaim_time)
{
    auto seen = waiting_job();
    run_job(seen, "j1", 19 * second, 30 * second);

    EXPECT_TRUE(check(seen, {}).empty());
}

TEST(check_guarantees, lets_a_job_wait_while_the_workspace_uses_its_shape)
{
    auto seen = waiting_job();
    seen.jobs.push_back({.job = "j0",
                         .workspace = "clubs",
                         .domain = "bole",
                         .members = 2,
                         .accelerators = 8,
                         .state = "completed"});
    run_job(seen, "j0", 5 * second, 12 * second);

    EXPECT_TRUE(check(seen, {}).empty());
}

TEST(check_guarantees, does_not_excuse_use_by_another_workspace)
{
    auto seen = waiting_job();
    seen.jobs.push_back({.job = "j0",
                         .workspace = "others",
                         .domain = "bole",
                         .members = 4,
                         .accelerators = 8,
                         .state = "completed"});
    run_job(seen, "j0", 5 * second, 50 * second);

    EXPECT_EQ(count_of(check(seen, {}), promise::guarantee_reclaimable), 1);
}

TEST(check_guarantees, asks_nothing_for_a_larger_shape_or_a_cancelled_job)
{
    auto larger = waiting_job();
    larger.jobs[0].members = 8;
    auto cancelled = waiting_job();
    cancelled.jobs[0].cancelled = true;

    EXPECT_TRUE(check(larger, {}).empty());
    EXPECT_TRUE(check(cancelled, {}).empty());
}

TEST(check_guarantees, asks_nothing_when_the_observation_ended_too_early)
{
    auto seen = waiting_job();
    seen.observed_until = 15 * second;

    EXPECT_TRUE(check(seen, {}).empty());
}

} // namespace
} // namespace poplarstile::bench::checker
