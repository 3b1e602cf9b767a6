#include "bench/load_driver/plan.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarstile::bench::load_driver
{
namespace
{

workload one_request_stream(request_stream stream)
{
    return {.requests = {std::move(stream)}};
}

TEST(plan_calls, gives_the_same_plan_for_the_same_seed)
{
    const auto work =
        one_request_stream({.base = {.work_class = "c",
                                     .per_second = 50,
                                     .run = {base::milliseconds{1}, base::milliseconds{90}}}});
    const plan_options options{.length = base::milliseconds{2'000}, .seed = 7};

    const auto first = plan_calls(work, options);
    const auto second = plan_calls(work, options);

    ASSERT_EQ(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(first[index].at, second[index].at);
        EXPECT_EQ(std::get<request_call>(first[index].call).body,
                  std::get<request_call>(second[index].call).body);
    }
}

TEST(plan_calls, arrives_at_about_the_stated_rate_and_in_order)
{
    const auto work = one_request_stream({.base = {.work_class = "c", .per_second = 100}});

    const auto plan = plan_calls(work, {.length = base::milliseconds{20'000}, .seed = 7});

    EXPECT_NEAR(static_cast<double>(plan.size()), 2'000, 200);
    EXPECT_TRUE(std::ranges::is_sorted(plan, {}, &planned_call::at));
}

TEST(plan_calls, sends_a_burst_at_once)
{
    const auto work = one_request_stream({.base = {.work_class = "c", .bursts = {{0.5, 30}}}});

    const auto plan = plan_calls(work, {.length = base::milliseconds{1'000}});

    ASSERT_EQ(plan.size(), 30);
    EXPECT_EQ(plan.front().at, base::milliseconds{500});
    EXPECT_EQ(plan.back().at, base::milliseconds{500});
}

TEST(plan_calls, repeats_a_request_with_the_same_key_and_body)
{
    const auto work = one_request_stream(
        {.base = {.work_class = "c", .bursts = {{0.0, 1}}}, .with_key = true, .repeat_share = 1.0});

    const auto plan = plan_calls(work, {.length = base::milliseconds{1'000}});

    ASSERT_EQ(plan.size(), 2);
    const auto& first = std::get<request_call>(plan[0].call);
    const auto& second = std::get<request_call>(plan[1].call);
    EXPECT_FALSE(first.key.empty());
    EXPECT_EQ(first.key, second.key);
    EXPECT_EQ(first.body, second.body);
    EXPECT_GT(plan[1].at, plan[0].at);
}

TEST(plan_calls, gives_each_request_its_own_marker)
{
    const auto work = one_request_stream({.base = {.work_class = "c", .bursts = {{0.0, 2}}}});

    const auto plan = plan_calls(work, {.length = base::milliseconds{1'000}, .run_name = "r"});

    ASSERT_EQ(plan.size(), 2);
    EXPECT_NE(std::get<request_call>(plan[0].call).marker,
              std::get<request_call>(plan[1].call).marker);
}

TEST(plan_calls, plans_cancellations_of_a_job_stream)
{
    const workload work{.jobs = {{.base = {.work_class = "c", .bursts = {{0.1, 1}}},
                                  .shapes = {{4, 8}},
                                  .cancel_waves = {{0.5, 0.7}}}}};

    const auto plan = plan_calls(work, {.length = base::milliseconds{1'000}});

    ASSERT_EQ(plan.size(), 2);
    EXPECT_EQ(std::get<job_call>(plan[0].call).members, 4);
    EXPECT_DOUBLE_EQ(std::get<cancel_call>(plan[1].call).share, 0.7);
}

} // namespace
} // namespace poplarstile::bench::load_driver
