#include "bench/checker/measures.hpp"

#include <gtest/gtest.h>

namespace poplarstile::bench::checker
{
namespace
{

constexpr wall_us ms = 1'000;

/// Two neighbouring workers of 8 accelerators in one rack.
std::vector<worker_place> two_workers()
{
    return {{.worker = "w1", .domain = "bole", .rack = "r1", .position = 0},
            {.worker = "w2", .domain = "bole", .rack = "r1", .position = 1}};
}

history one_task(std::vector<std::uint32_t> accelerators, std::uint32_t members)
{
    history seen;
    seen.tasks = {{.worker = "w1",
                   .task = "t",
                   .job = "j",
                   .held = ms,
                   .released = ms,
                   .ended = 10 * ms,
                   .accelerators = std::move(accelerators)}};
    seen.guarantees = {{.domain = "bole", .members = members, .accelerators = 8}};
    seen.observed_until = 10 * ms;
    return seen;
}

TEST(distribution_of, takes_the_nearest_rank)
{
    std::vector<wall_us> values;
    for (wall_us value = 100; value >= 1; --value) {
        values.push_back(value * ms);
    }

    const auto spread = distribution_of(values);

    EXPECT_EQ(spread.count, 100);
    EXPECT_DOUBLE_EQ(spread.p50, 50);
    EXPECT_DOUBLE_EQ(spread.p95, 95);
    EXPECT_DOUBLE_EQ(spread.p99, 99);
}

TEST(distribution_of, is_zero_without_samples)
{
    EXPECT_EQ(distribution_of({}).count, 0);
}

TEST(request_completion, counts_from_the_first_try)
{
    history seen;
    seen.requests = {{.marker = "a",
                      .service = "preview",
                      .sent = 1 * ms,
                      .told = answer::not_run,
                      .superseded = true},
                     {.marker = "a",
                      .service = "preview",
                      .sent = 5 * ms,
                      .answered = 9 * ms,
                      .told = answer::completed}};

    EXPECT_DOUBLE_EQ(request_completion(seen).at("preview").p50, 8);
}

TEST(urgent_start, counts_urgent_requests_until_their_first_start)
{
    history seen;
    seen.requests = {{.marker = "a", .urgent = true, .sent = 1 * ms},
                     {.marker = "b", .urgent = false, .sent = 1 * ms}};
    seen.executions = {{.marker = "a", .started = 9 * ms},
                       {.marker = "a", .started = 4 * ms},
                       {.marker = "b", .started = 4 * ms}};

    const auto spread = urgent_start(seen);

    EXPECT_EQ(spread.count, 1);
    EXPECT_DOUBLE_EQ(spread.p50, 3);
}

TEST(job_completion, counts_until_the_last_member_ended)
{
    history seen;
    seen.jobs = {{.job = "j", .job_class = "rerank", .submitted = 1 * ms, .state = "completed"}};
    seen.tasks = {{.job = "j", .member = 0, .ended = 5 * ms, .state = "completed"},
                  {.job = "j", .member = 1, .ended = 7 * ms, .state = "completed"}};

    EXPECT_DOUBLE_EQ(job_completion(seen).at("rerank").p50, 6);
}

TEST(fragmentation, is_the_share_of_free_accelerators_outside_whole_shapes)
{
    EXPECT_DOUBLE_EQ(fragmentation(one_task({0}, 1), two_workers()), 7.0 / 15.0);
}

TEST(fragmentation, needs_neighbours_for_a_gang)
{
    EXPECT_DOUBLE_EQ(fragmentation(one_task({0}, 2), two_workers()), 1.0);
}

TEST(fragmentation, is_zero_when_all_that_is_free_can_be_used)
{
    EXPECT_DOUBLE_EQ(fragmentation(one_task({0, 1, 2, 3, 4, 5, 6, 7}, 1), two_workers()), 0.0);
}

} // namespace
} // namespace poplarstile::bench::checker
