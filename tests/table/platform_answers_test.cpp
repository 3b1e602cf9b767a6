#include "table/table_client.hpp"

#include <gtest/gtest.h>

namespace poplarstile::table
{
namespace
{

net::http_reply answered(std::uint16_t status, std::string body)
{
    return {.outcome = net::delivery::answered, .status = status, .body = std::move(body)};
}

// The readers run on the HTTP client's thread, where an exception would end the whole process.
TEST(vm_list, takes_members_of_wrong_types_for_absent)
{
    const auto read = read_vm_list(answered(200, R"({"vms":[{"id":5,"state":["leaving"]}]})"));

    ASSERT_TRUE(read.has_value());
    ASSERT_EQ(read.value().size(), 1U);
    EXPECT_EQ(read.value().front().id, "");
    EXPECT_FALSE(read.value().front().leaving);
}

TEST(vm_list, that_is_none_is_an_error)
{
    EXPECT_FALSE(read_vm_list(answered(200, R"({"vms":[1]})")).has_value());
    EXPECT_FALSE(read_vm_list(answered(200, "[]")).has_value());
    EXPECT_FALSE(read_vm_list(answered(503, R"({"vms":[]})")).has_value());
}

TEST(commit_answer, that_is_not_understood_is_unknown)
{
    for (const auto* const body : {R"({"committed":"yes","version":1})", R"({"committed":true})",
                                   R"({"committed":true,"version":"1"})", "{", "[]"}) {
        EXPECT_EQ(read_commit_answer(answered(200, body)).state, commit_state::unknown) << body;
    }
}

TEST(commit_answer, with_odd_conflicts_is_still_a_conflict)
{
    const auto read =
        read_commit_answer(answered(409, R"({"conflicts":[5,{"key":1,"version":"x"}]})"));

    EXPECT_EQ(read.state, commit_state::conflict);
}

TEST(commit_answer, does_not_call_a_row_gone_whose_version_it_lacks)
{
    const auto read = read_commit_answer(
        answered(409, R"({"conflicts":[{"key":"job/a"},{"key":"job/b","version":0}]})"));

    EXPECT_EQ(read.state, commit_state::conflict);
    ASSERT_EQ(read.conflicts.size(), 1U);
    EXPECT_EQ(read.conflicts.front().key, "job/b");
}

TEST(commit_answer, reads_version_and_conflicts)
{
    EXPECT_EQ(read_commit_answer(answered(200, R"({"committed":true,"version":9})")).version, 9U);
    const auto read =
        read_commit_answer(answered(409, R"({"conflicts":[{"key":"lease/a","version":4}]})"));
    ASSERT_EQ(read.conflicts.size(), 1U);
    EXPECT_EQ(read.conflicts.front().key, "lease/a");
}

} // namespace
} // namespace poplarstile::table
