#include "scheduling/job.hpp"

#include <gtest/gtest.h>

#include <string>

/// Jobs as the table keeps them.
namespace poplarstile::scheduling
{
namespace
{

using nlohmann::json;

stored_job job_with(const json& payload)
{
    stored_job job;
    job.spec.id = "j-1";
    job.spec.shape = {1, 1};
    job.spec.payload = base::json_text{payload};
    return job;
}

json many_small_values()
{
    constexpr std::size_t values = 10'000;
    return {{"more", json::array_t(values, json::object())}};
}

TEST(job_rows, AShortPayloadIsStoredAsBefore)
{
    const auto row = to_json(job_with({{"run_ms", 50}}));

    EXPECT_EQ(row.at("spec").at("payload"), (json{{"run_ms", 50}}));
    EXPECT_EQ(read_job({"job/d/j-1", 1, row}).value().spec.payload.value(), (json{{"run_ms", 50}}));
}

// Guards against rows that take thirty times their length wherever they are read.
TEST(job_rows, ALongPayloadIsStoredAsText)
{
    const auto row = to_json(job_with(many_small_values()));

    EXPECT_TRUE(row.at("spec_of_long_payload").at("payload_text").is_string());
    EXPECT_EQ(read_job({"job/d/j-1", 1, row}).value().spec.payload.value(), many_small_values());
}

// Guards against VMs of earlier builds that start such a job without its payload.
TEST(job_rows, ALongPayloadIsNoJobToEarlierBuilds)
{
    EXPECT_FALSE(to_json(job_with(many_small_values())).contains("spec"));
}

TEST(job_rows, ARowWithoutPayloadHasAnEmptyOne)
{
    auto row = to_json(job_with(json::object()));
    row["spec"].erase("payload");

    EXPECT_EQ(read_job({"job/d/j-1", 1, row}).value().spec.payload.text(), "{}");
}

} // namespace
} // namespace poplarstile::scheduling
