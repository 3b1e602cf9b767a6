#include "support/breaking_server.hpp"
#include "table/table_client.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <future>

/// A transaction that was committed, whose kept connection broke before the answer.
namespace poplarstile::table
{
namespace
{

commit_state transact(table_client& rows)
{
    std::promise<commit_state> answered;
    rows.transact({"operation", {}, {{"key", "value"}}},
                  [&answered](const commit_result& result) { answered.set_value(result.state); });
    return answered.get_future().get();
}

TEST(transaction_resend, WhatMayHaveBeenCommittedIsNotReportedAsNotApplied)
{
    tests::breaking_server platform{"{", tests::busy_answer};
    const auto client = net::http_client::start({}).value();
    table_client rows{*client, platform.address, std::chrono::seconds{1}, std::chrono::seconds{1}};
    (void)transact(rows);

    EXPECT_EQ(transact(rows), commit_state::unknown);
    EXPECT_EQ(platform.first_calls, 2);
    EXPECT_EQ(platform.later_calls, 0);
}

} // namespace
} // namespace poplarstile::table
