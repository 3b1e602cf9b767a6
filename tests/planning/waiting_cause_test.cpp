#include "planning/waiting_cause.hpp"

#include "plan_fixture.hpp"

#include <gtest/gtest.h>

/// Each cause that operators are told for waiting work, in the smallest state that has it.
namespace poplarstile::planning
{
namespace
{

struct waiting_fixture : plan_fixture {
    [[nodiscard]] waiting_reason reason_of(std::size_t unit, bool starts_held_back = false) const
    {
        return why_waiting(view_waiting(units, workers, starts_held_back), unit);
    }
    [[nodiscard]] waiting_cause cause_of(std::size_t unit, bool starts_held_back = false) const
    {
        return reason_of(unit, starts_held_back).cause;
    }
    /// A gang of four tasks that take half a worker each.
    std::size_t add_gang()
    {
        return add_unit(add_spec(4, 4, true), in_time(1, 1));
    }
    void close(std::size_t worker, unusable_reason why)
    {
        workers.at(worker).schedulable = false;
        workers.at(worker).unusable = why;
    }
};

TEST(waiting_cause, FullWorkersHaveNoRoom)
{
    waiting_fixture fixture;
    fixture.occupy(fixture.add_worker("r1"), 8);
    const auto reason = fixture.reason_of(fixture.add_gang());
    EXPECT_EQ(reason.cause, waiting_cause::no_room);
    EXPECT_EQ(reason.slots_if_not_held, 0);
    EXPECT_EQ(reason.usable_workers, 1U);
}

TEST(waiting_cause, AGangThatRequiresOneRackMayLackTheRackOnly)
{
    waiting_fixture fixture;
    for (const auto* rack : {"r1", "r1", "r2", "r2"}) {
        fixture.occupy(fixture.add_worker(rack), 4);
    }
    const auto unit = fixture.add_gang();
    fixture.specs.back().one_rack = true;
    const auto reason = fixture.reason_of(unit);
    EXPECT_EQ(reason.cause, waiting_cause::no_room_in_one_rack);
    EXPECT_EQ(reason.slots_in_best_rack, 2);
    EXPECT_EQ(reason.slots_in_all_racks, 4);
    // The planner places overdue gangs across racks.
    fixture.units.at(unit).rank.overdue = true;
    EXPECT_EQ(fixture.cause_of(unit), waiting_cause::room_left);
}

TEST(waiting_cause, RoomMayBeHeldForIsolatedWork)
{
    waiting_fixture fixture;
    for (int worker = 0; worker < 4; ++worker) {
        fixture.add_worker("r1");
    }
    for (std::size_t worker = 1; worker < 4; ++worker) {
        fixture.occupy(worker, 8);
    }
    fixture.add_isolated_unit(fixture.add_spec(1, 1, false), in_time(1, 0));
    const auto unit = fixture.add_unit(fixture.add_spec(1, 4, false), in_time(1, 1));
    const auto reason = fixture.reason_of(unit);
    EXPECT_EQ(reason.cause, waiting_cause::held_for_isolated_work);
    EXPECT_EQ(reason.slots_in_all_racks, 0);
    EXPECT_EQ(reason.slots_if_not_held, 2);
}

TEST(waiting_cause, IsolatedWorkMayWaitForTheLimitBesideIdleWorkers)
{
    waiting_fixture fixture;
    for (int worker = 0; worker < 4; ++worker) {
        fixture.add_worker("r1");
    }
    // One worker in four may be kept, and runs isolated work already.
    fixture.occupy(0, 1);
    fixture.workers.at(0).isolated = true;
    const auto unit = fixture.add_isolated_unit(fixture.add_spec(1, 1, false), in_time(1, 0));
    const auto reason = fixture.reason_of(unit);
    EXPECT_EQ(reason.cause, waiting_cause::isolation_limit);
    EXPECT_EQ(reason.slots_in_all_racks, 24);
}

TEST(waiting_cause, IsolatedWorkMayLackAnIdleWorker)
{
    waiting_fixture fixture;
    for (std::size_t worker = 0; worker < 4; ++worker) {
        fixture.occupy(fixture.add_worker("r1"), 1);
    }
    const auto unit = fixture.add_isolated_unit(fixture.add_spec(1, 1, false), in_time(1, 0));
    const auto reason = fixture.reason_of(unit);
    EXPECT_EQ(reason.cause, waiting_cause::no_idle_worker);
    EXPECT_EQ(reason.slots_if_not_held, 28);
}

TEST(waiting_cause, RoomMayBeHeldForUrgentWork)
{
    waiting_fixture fixture;
    fixture.workers.at(fixture.add_worker("r1")).held_for_urgent = {1'000, 1'000, 8};
    const auto other = fixture.add_unit(fixture.add_spec(1, 4, false), in_time(1, 1));
    EXPECT_EQ(fixture.cause_of(other), waiting_cause::held_for_urgent_work);
    const auto urgent = fixture.add_unit(fixture.add_spec(1, 4, false), in_time(0, 1));
    EXPECT_EQ(fixture.cause_of(urgent), waiting_cause::room_left);
}

TEST(waiting_cause, StartsUnderWayKeepWorkThatFits)
{
    waiting_fixture fixture;
    fixture.add_worker("r1");
    const auto unit = fixture.add_unit(fixture.add_spec(1, 4, false), in_time(1, 1));
    EXPECT_EQ(fixture.cause_of(unit, true), waiting_cause::too_many_starts);
    EXPECT_EQ(fixture.cause_of(unit), waiting_cause::room_left);
}

TEST(waiting_cause, UnusableWorkersAreCountedByReason)
{
    waiting_fixture fixture;
    fixture.occupy(fixture.add_worker("r1"), 8);
    fixture.close(fixture.add_worker("r1"), unusable_reason::silent);
    fixture.close(fixture.add_worker("r2"), unusable_reason::silent);
    fixture.close(fixture.add_worker("r2"), unusable_reason::draining);
    const auto reason = fixture.reason_of(fixture.add_gang());
    EXPECT_EQ(reason.cause, waiting_cause::workers_unusable);
    EXPECT_EQ(reason.slots_on_unusable, 6);
    EXPECT_EQ(reason.unusable_workers.at(static_cast<std::size_t>(unusable_reason::silent)), 2U);
    EXPECT_EQ(reason.unusable_workers.at(static_cast<std::size_t>(unusable_reason::draining)), 1U);
}

} // namespace
} // namespace poplarstile::planning
