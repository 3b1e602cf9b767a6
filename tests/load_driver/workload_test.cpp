#include "bench/load_driver/workload.hpp"

#include <gtest/gtest.h>

namespace poplarstile::bench::load_driver
{
namespace
{

TEST(parse_workload, reads_streams_with_their_bursts_and_waves)
{
    const auto read = parse_workload(R"({
        "requests":[{"class":"print_sheet","workspace":"w","idempotent":false,"per_second":2,
                     "run_ms":[5,9],"deadline_ms":700,"with_key":true,"repeat_share":0.5,
                     "bursts":[{"at_share":0.5,"count":3}]}],
        "jobs":[{"class":"c","workspace":"w","shapes":["4x8"],"run_ms":[1,2],
                 "declared_factor":[0.5,2.0],"cancel_waves":[{"at_share":0.5,"share":0.25}]}]})");

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    const auto& request = read.value().requests.at(0);
    EXPECT_FALSE(request.base.idempotent);
    EXPECT_EQ(request.deadline.count(), 700);
    EXPECT_EQ(request.base.bursts.at(0).count, 3);
    const auto& job = read.value().jobs.at(0);
    EXPECT_DOUBLE_EQ(job.cancel_waves.at(0).share, 0.25);
    EXPECT_DOUBLE_EQ(job.declared_factor.most, 2.0);
    EXPECT_EQ(job.shapes.at(0).members, 4);
}

TEST(parse_workload, refuses_a_shape_that_is_none)
{
    EXPECT_FALSE(parse_workload(
        R"({"requests":[],"jobs":[{"class":"c","workspace":"w","run_ms":[1,1],"shapes":["4*8"]}]})"));
}

TEST(parse_workload, refuses_a_share_above_one)
{
    const auto read = parse_workload(
        R"({"requests":[{"class":"c","workspace":"w","run_ms":[1,1],"fail_share":1.5}],"jobs":[]})");

    ASSERT_FALSE(read.has_value());
    EXPECT_NE(read.error().detail.find("fail_share"), std::string::npos) << read.error().detail;
}

TEST(parse_workload, refuses_a_stream_without_a_class)
{
    EXPECT_FALSE(parse_workload(R"({"requests":[{"workspace":"w","run_ms":[1,1]}],"jobs":[]})"));
}

} // namespace
} // namespace poplarstile::bench::load_driver
