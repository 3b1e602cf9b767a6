#include "standins/worker_standin/attempt_table.hpp"

#include <gtest/gtest.h>

namespace poplarstile::standins::worker_standin
{
namespace
{

constexpr std::size_t record_capacity = 100;

class attempts : public testing::Test
{
protected:
    execute_answer start(const std::string& attempt, const worker_condition& condition = {})
    {
        return table.start({.request = "r", .attempt = attempt, .body = {{"marker", "m"}}},
                           condition, {});
    }

    static execute_refusal reason(const execute_answer& answer)
    {
        return std::get<attempt_refused>(answer).reason;
    }

    record_book records{record_capacity};
    attempt_table table{"w1", 2, records};
};

TEST_F(attempts, known_attempt_is_refused_and_runs_once)
{
    ASSERT_TRUE(std::holds_alternative<attempt_started>(start("a")));
    ASSERT_TRUE(table.finish("a", {}));

    const auto repeated = start("a");

    EXPECT_EQ(reason(repeated), execute_refusal::known);
    EXPECT_EQ(std::get<attempt_refused>(repeated).state, attempt_state::completed);
    EXPECT_EQ(records.to_json().at("executions").size(), 1U);
}

TEST_F(attempts, fenced_attempt_never_runs)
{
    EXPECT_EQ(table.fence("a").state, attempt_state::fenced);

    EXPECT_EQ(reason(start("a")), execute_refusal::fenced);
    EXPECT_TRUE(records.to_json().at("executions").empty());
}

TEST_F(attempts, fence_of_a_started_attempt_tells_that_it_runs)
{
    ASSERT_TRUE(std::holds_alternative<attempt_started>(start("a")));

    EXPECT_EQ(table.fence("a").state, attempt_state::running);
    EXPECT_EQ(table.finish("a", {})->body.at("echo"), "m");
}

TEST_F(attempts, attempt_refused_for_want_of_a_slot_is_never_seen)
{
    ASSERT_TRUE(std::holds_alternative<attempt_started>(start("a")));
    ASSERT_TRUE(std::holds_alternative<attempt_started>(start("b")));

    EXPECT_EQ(reason(start("c")), execute_refusal::busy);
    EXPECT_EQ(table.find("c").state, attempt_state::never_seen);
}

TEST_F(attempts, death_answers_nobody_and_frees_the_slots)
{
    ASSERT_TRUE(std::holds_alternative<attempt_started>(start("a")));

    table.die({});

    EXPECT_FALSE(table.finish("a", {}).has_value());
    EXPECT_EQ(table.slots_busy(), 0U);
    EXPECT_EQ(reason(start("a")), execute_refusal::known) << "it did start before the death";
}

} // namespace
} // namespace poplarstile::standins::worker_standin
