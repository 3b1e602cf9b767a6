#include "lease/scheduler_lease.hpp"

#include <gtest/gtest.h>

namespace poplarstile::lease
{
namespace
{

using base::milliseconds;
using table::commit_state;

class scheduler_lease_of_one_vm : public testing::Test
{
protected:
    actions tell(const event& happened, milliseconds later = milliseconds{0})
    {
        now_ += later;
        return lease_.decide(happened, now_);
    }

    /// Ticks after a renewal interval; the action wanted must be the only one.
    template <class Action>
    Action tick()
    {
        const auto out = tell(time_passed{}, milliseconds{500});
        EXPECT_EQ(out.size(), 1U);
        return std::get<Action>(out.at(0));
    }

    /// The row of a holder and its heartbeat.
    static rows_read rows(const std::string& vm, std::uint64_t epoch, const std::string& operation,
                          table::row_version beat)
    {
        return {true,
                table::table_row{
                    "lease/d", 5, {{"vm", vm}, {"epoch", epoch}, {"operation", operation}}},
                table::table_row{"heartbeat/d", beat, {{"vm", vm}}}};
    }

    void hold()
    {
        (void)tick<read_rows>();
        const auto out = tell(rows_read{true, {}, {}});
        ASSERT_EQ(out.size(), 1U) << "no holder yet: taken at once";
        const auto gains = tell(write_answered{{commit_state::committed, 7, {}}});
        ASSERT_TRUE(std::holds_alternative<gained>(gains.at(0)));
    }

    scheduler_lease lease_{{"vm1", "run", "d", milliseconds{500}, milliseconds{2'500}}};
    base::time_point now_{milliseconds{10'000}};
};

TEST_F(scheduler_lease_of_one_vm, takes_over_when_the_heartbeat_is_silent_for_the_timeout)
{
    for (int number = 0; number < 5; ++number) {
        (void)tick<read_rows>();
        ASSERT_TRUE(tell(rows("vm2", 3, "x", 9)).empty());
    }
    (void)tick<read_rows>();

    const auto out = tell(rows("vm2", 3, "x", 9));

    const auto& write = std::get<write_rows>(out.at(0)).transaction;
    EXPECT_EQ(write.writes.at(0).value["epoch"], 4);
    EXPECT_EQ(write.conditions.size(), 2U) << "a renewal in between must make it fail";
}

TEST_F(scheduler_lease_of_one_vm,
       looks_at_once_and_waits_less_when_membership_calls_the_holder_dead)
{
    (void)tick<read_rows>();
    (void)tell(rows("vm2", 3, "x", 9));
    const auto looks = tell(vm_gone{"vm2"}, milliseconds{100});
    ASSERT_TRUE(std::holds_alternative<read_rows>(looks.at(0)));
    EXPECT_TRUE(tell(rows("vm2", 3, "x", 9)).empty()) << "it may have renewed a moment ago";
    (void)tick<read_rows>();
    (void)tell(rows("vm2", 3, "x", 9));
    (void)tick<read_rows>();

    EXPECT_EQ(tell(rows("vm2", 3, "x", 9)).size(), 1U);
}

TEST_F(scheduler_lease_of_one_vm, a_wrong_word_of_membership_takes_nothing_from_a_live_holder)
{
    (void)tick<read_rows>();
    (void)tell(rows("vm2", 3, "x", 9));
    (void)tell(vm_gone{"vm2"});
    (void)tell(rows("vm2", 3, "x", 9));
    for (table::row_version beat = 10; beat < 20; ++beat) {
        (void)tick<read_rows>();
        EXPECT_TRUE(tell(rows("vm2", 3, "x", beat)).empty());
    }
}

TEST_F(scheduler_lease_of_one_vm, finds_a_takeover_whose_answer_was_lost_also_after_a_later_try)
{
    (void)tick<read_rows>();
    const auto first = tell(rows_read{true, {}, {}});
    const auto operation = std::get<write_rows>(first.at(0)).transaction.operation;
    (void)tell(write_answered{{commit_state::unknown, 0, {}}});
    (void)tick<read_rows>();
    (void)tell(rows_read{true, {}, {}});
    (void)tell(write_answered{{commit_state::conflict, 0, {}}});
    (void)tick<read_rows>();

    const auto out = tell(rows("vm1", 1, operation, 9));

    ASSERT_EQ(out.size(), 1U);
    EXPECT_EQ(std::get<gained>(out.at(0)).token, workers::token_ranks_per_epoch);
}

TEST_F(scheduler_lease_of_one_vm, keeps_the_lease_over_unknown_renewals_and_loses_it_on_a_conflict)
{
    hold();
    (void)tick<write_rows>();
    EXPECT_TRUE(tell(write_answered{{commit_state::unknown, 0, {}}}).empty());
    (void)tick<write_rows>();

    const auto out = tell(write_answered{{commit_state::conflict, 0, {}}});

    EXPECT_TRUE(std::holds_alternative<lost>(out.at(0)));
    EXPECT_FALSE(lease_.held());
}

TEST_F(scheduler_lease_of_one_vm, does_not_trust_an_answer_from_before_a_pause)
{
    hold();
    (void)tick<write_rows>();
    (void)tell(paused{}, milliseconds{10'000});

    const auto out = tell(write_answered{{commit_state::committed, 8, {}}});

    EXPECT_FALSE(lease_.confirmed()) << "the write may have committed before another VM took over";
    ASSERT_EQ(out.size(), 1U) << "it asks again";
    (void)tell(write_answered{{commit_state::committed, 9, {}}});
    EXPECT_TRUE(lease_.confirmed());
}

TEST_F(scheduler_lease_of_one_vm, reads_again_after_a_takeover_that_was_answered_across_a_pause)
{
    (void)tell(time_passed{}, milliseconds{1'000});
    (void)tell(rows_read{.readable = true});
    (void)tell(paused{}, milliseconds{10'000});

    const auto out = tell(write_answered{{commit_state::committed, 8, {}}});

    EXPECT_FALSE(lease_.held()) << "another VM may have taken over during the pause";
    ASSERT_EQ(out.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<read_rows>(out.at(0)));
}

TEST_F(scheduler_lease_of_one_vm, vacates_the_row_when_it_leaves)
{
    hold();

    const auto out = tell(leaving{});

    EXPECT_EQ(std::get<write_rows>(out.at(0)).transaction.writes.at(0).value["vm"], "");
    EXPECT_TRUE(std::holds_alternative<lost>(out.at(1)));
    EXPECT_TRUE(tell(time_passed{}, milliseconds{5'000}).empty()) << "it does not take it again";
}

} // namespace
} // namespace poplarstile::lease
