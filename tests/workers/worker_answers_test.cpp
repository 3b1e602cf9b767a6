#include "workers/worker_client.hpp"

#include <gtest/gtest.h>

namespace poplarstile::workers
{
namespace
{

net::http_reply answered(std::string body)
{
    return {.outcome = net::delivery::answered, .status = 200, .body = std::move(body)};
}

// The reader runs on the HTTP client's thread, where an exception would end the whole process.
TEST(lease_answer, takes_members_of_wrong_types_for_absent)
{
    const auto read = read_lease_answer(
        answered(R"({"worker":"w","token":"x","tasks":[{"task":"t","accelerators":"all",)"
                 R"("state":"held"}],"accelerators":[{"index":0,"broken":1},3],"leaving":"yes"})"),
        "w");

    EXPECT_EQ(read.result, lease_answer::kind::renewed);
    EXPECT_EQ(read.report.token, 0U);
    EXPECT_FALSE(read.report.leaving);
    EXPECT_TRUE(read.report.broken_accelerators.empty());
    ASSERT_EQ(read.report.tasks.size(), 1U);
    EXPECT_TRUE(read.report.tasks.front().accelerators.empty());
}

// A task that such a list lacks would be taken for one that its worker has forgotten.
TEST(lease_answer, that_does_not_tell_every_task_is_not_taken)
{
    for (const auto* const text : {
             R"({})",
             R"({"worker":"w"})",
             R"({"worker":"w","tasks":{}})",
             R"({"worker":"w","tasks":[5]})",
             R"({"worker":"w","tasks":[{"task":1,"state":"held"}]})",
             R"({"worker":"w","tasks":[{"task":"t","state":[]}]})",
             R"({"worker":"w","tasks":[{"task":"t","state":"paused"}]})",
         }) {
        EXPECT_EQ(read_lease_answer(answered(text), "w").result, lease_answer::kind::lost) << text;
    }
}

TEST(lease_answer, of_another_worker_is_not_taken)
{
    const auto* const text = R"({"worker":"w","token":65536,"tasks":[]})";

    EXPECT_EQ(read_lease_answer(answered(text), "w").result, lease_answer::kind::renewed);
    EXPECT_EQ(read_lease_answer(answered(text), "v").result, lease_answer::kind::lost);
}

TEST(lease_answer, reads_what_the_worker_says)
{
    const auto read = read_lease_answer(
        answered(
            R"({"worker":"w","token":65536,"tasks":[{"task":"t","job":"j","gang_size":2,"member":1,)"
            R"("accelerators":[4,5],"state":"running","progress_ms":9}],)"
            R"("accelerators":[{"index":3,"broken":true}],"leaving":true})"),
        "w");

    ASSERT_EQ(read.report.tasks.size(), 1U);
    EXPECT_EQ(read.report.tasks.front().accelerators, (std::vector<std::uint32_t>{4, 5}));
    EXPECT_EQ(read.report.broken_accelerators, std::vector<std::uint32_t>{3});
    EXPECT_TRUE(read.report.leaving);
}

TEST(execute_answer, of_another_attempt_is_not_taken)
{
    const auto read = read_execute_answer(
        answered(R"({"request":"r","attempt":"other","outcome":"completed","body":{}})"), "r", "a");

    EXPECT_EQ(read.state, execute_state::lost);
    EXPECT_EQ(read.body, "");
}

} // namespace
} // namespace poplarstile::workers
