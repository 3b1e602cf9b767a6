#include "bench/load_driver/answers.hpp"

#include <gtest/gtest.h>

namespace poplarstile::bench::load_driver
{
namespace
{

using checker::answer;

net::http_reply answered(std::uint16_t status, std::string body)
{
    return {.outcome = net::delivery::answered, .status = status, .body = std::move(body)};
}

TEST(read_request_answer, finds_the_marker_in_the_worker_s_answer)
{
    const auto read = read_request_answer(answered(
        200, R"({"outcome":"completed","request":"r","body":{"worker":"w","body":{"echo":"m"}}})"));

    EXPECT_EQ(read.told, answer::completed);
    EXPECT_EQ(read.marker, "m");
}

TEST(read_request_answer, reads_code_and_detail_of_a_refusal)
{
    const auto read =
        read_request_answer(answered(429, R"({"outcome":"not_run","code":3010,"detail":"slow"})"));

    EXPECT_EQ(read.told, answer::not_run);
    EXPECT_EQ(read.code, 3010);
    EXPECT_EQ(read.detail, "slow");
}

TEST(read_request_answer, takes_an_answer_without_an_outcome_for_none)
{
    EXPECT_EQ(read_request_answer(answered(200, "{}")).told, answer::no_answer);
    EXPECT_EQ(read_request_answer(answered(200, "{\"outco")).told, answer::no_answer);
    EXPECT_EQ(read_request_answer(answered(200, R"({"outcome":"perhaps"})")).told,
              answer::no_answer);
}

TEST(read_request_answer, takes_a_lost_answer_for_none)
{
    EXPECT_EQ(read_request_answer({.outcome = net::delivery::lost}).told, answer::no_answer);
}

TEST(may_fail_over, only_when_nothing_ran)
{
    const auto fails_over = [](const net::http_reply& reply) {
        return may_fail_over(reply, read_request_answer(reply));
    };

    EXPECT_TRUE(fails_over({.outcome = net::delivery::not_sent}));
    EXPECT_TRUE(fails_over(answered(503, R"({"outcome":"not_run","code":3013})")));
    EXPECT_FALSE(fails_over({.outcome = net::delivery::lost})) << "it may have run";
    EXPECT_FALSE(fails_over(answered(504, R"({"outcome":"unknown","code":5005})")));
    EXPECT_FALSE(fails_over(answered(500, R"({"outcome":"failed","code":5006})")));
    EXPECT_FALSE(fails_over(answered(429, R"({"outcome":"not_run","code":3010})")))
        << "the workspace's rate is the same everywhere";
}

TEST(read_job_answer, reads_id_and_state)
{
    const auto read = read_job_answer(answered(202, R"({"job":"j1","state":"queued"})"));

    EXPECT_EQ(read.job, "j1");
    EXPECT_EQ(read.state, "queued");
    EXPECT_FALSE(read.rejected);
    EXPECT_TRUE(read_job_answer(answered(422, R"({"outcome":"rejected","code":8001})")).rejected);
}

} // namespace
} // namespace poplarstile::bench::load_driver
