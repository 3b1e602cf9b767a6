#include "standins/worker_standin/task_table.hpp"

#include <gtest/gtest.h>

namespace poplarstile::standins::worker_standin
{
namespace
{

using std::chrono::milliseconds;

constexpr std::size_t record_capacity = 100;
constexpr std::uint64_t old_token = 65'536;
constexpr std::uint64_t new_token = 2 * old_token;

instant at(milliseconds since_start)
{
    return {base::time_point{std::chrono::hours{1} + since_start}, since_start.count() * 1'000};
}

class tasks : public testing::Test
{
protected:
    task_answer reserve(const std::string& task, std::uint64_t token,
                        std::vector<std::uint32_t> accelerators = {0, 1})
    {
        return table.reserve({.token = token,
                              .domain = "centro",
                              .task = task,
                              .job = "j",
                              .accelerators = std::move(accelerators),
                              .lease = milliseconds{1'000},
                              .checkpointable = true,
                              .run_time = milliseconds{2'000}},
                             false, at(milliseconds{0}));
    }

    static task_refusal reason(const task_answer& answer)
    {
        return std::get<task_refused>(answer).reason;
    }

    static task_state state(const task_answer& answer)
    {
        return std::get<task_view>(answer).state;
    }

    record_book records{record_capacity};
    checkpoint_store checkpoints;
    task_table table{"w1", 8, records, checkpoints};
};

TEST_F(tasks, smaller_token_of_the_domain_is_refused_with_the_greatest)
{
    ASSERT_EQ(state(reserve("t1", new_token)), task_state::held);

    const auto refused = reserve("t2", old_token, {2});

    EXPECT_EQ(reason(refused), task_refusal::token);
    EXPECT_EQ(std::get<task_refused>(refused).greatest_token, new_token);
    EXPECT_EQ(reason(table.release("t1", old_token, false, at(milliseconds{1}))),
              task_refusal::token);
}

TEST_F(tasks, lapsed_lease_stops_the_task_and_a_late_renewal_does_not_revive_it)
{
    ASSERT_EQ(state(reserve("t1", old_token)), task_state::held);
    ASSERT_EQ(state(table.release("t1", old_token, false, at(milliseconds{0}))),
              task_state::running);

    const auto renewed =
        table.renew("centro", old_token, milliseconds{1'000}, at(milliseconds{1'000}));

    EXPECT_EQ(std::get<lease_renewed>(renewed).tasks.front().state, task_state::expired);
    EXPECT_EQ(records.to_json().at("tasks").at(0).at("state"), "expired");
    EXPECT_EQ(table.accelerators_busy(), 0U);
}

TEST_F(tasks, renewed_task_completes_at_its_run_time)
{
    ASSERT_EQ(state(reserve("t1", old_token)), task_state::held);
    static_cast<void>(table.release("t1", old_token, false, at(milliseconds{0})));
    static_cast<void>(table.renew("centro", old_token, milliseconds{5'000}, at(milliseconds{900})));

    EXPECT_EQ(table.next_due(), at(milliseconds{2'000}).steady);
    table.advance(at(milliseconds{2'000}));

    EXPECT_EQ(table.list(at(milliseconds{2'000})).front().state, task_state::completed);
}

TEST_F(tasks, throttle_slows_progress_and_a_checkpoint_outlives_the_task)
{
    ASSERT_EQ(state(reserve("t1", old_token)), task_state::held);
    static_cast<void>(table.release("t1", old_token, false, at(milliseconds{0})));
    static_cast<void>(table.throttle("t1", old_token, 0.5, at(milliseconds{400})));

    const auto saved = table.checkpoint("t1", old_token, at(milliseconds{800}));
    static_cast<void>(table.stop("t1", old_token, at(milliseconds{900})));

    EXPECT_EQ(std::get<task_view>(saved).progress, milliseconds{600});
    EXPECT_EQ(std::get<task_view>(reserve("t2", old_token)).progress, milliseconds{600});
}

TEST_F(tasks, stop_of_an_unseen_id_forbids_it)
{
    EXPECT_EQ(state(table.stop("t1", old_token, at(milliseconds{0}))), task_state::stopped);

    EXPECT_EQ(reason(reserve("t1", old_token)), task_refusal::known);
}

TEST_F(tasks, taken_and_broken_accelerators_are_refused)
{
    ASSERT_EQ(state(reserve("t1", old_token, {0, 1})), task_state::held);
    table.set_broken({5}, at(milliseconds{0}));

    EXPECT_EQ(reason(reserve("t2", old_token, {1, 2})), task_refusal::accelerators);
    EXPECT_EQ(reason(reserve("t3", old_token, {4, 5})), task_refusal::broken);
    EXPECT_EQ(reason(reserve("t4", old_token, {8})), task_refusal::accelerators);
}

} // namespace
} // namespace poplarstile::standins::worker_standin
