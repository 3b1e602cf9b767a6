#include "control/worker_room.hpp"

#include <gtest/gtest.h>

/// Runs that only the worker tells of: what they hold counts until they are surely gone.
namespace poplarstile::control
{
namespace
{

using base::milliseconds;

constexpr batch::resources need{2'000, 4'000, 1};
constexpr batch::resources capacity{32'000, 65'536, 8};

const listed_run shown_run{{"0000000000000001", 0, 0, 0}, 2};

base::time_point at(int ms)
{
    return base::time_point{} + milliseconds{1'000 + ms};
}

worker_list list_without_runs(int sent, int received)
{
    worker_list list;
    list.sent = at(sent);
    list.received = at(received);
    return list;
}

TEST(unknown_runs, CountAgainstTheRoom)
{
    worker_state worker;
    worker.unknown.show(shown_run, need, at(0));

    EXPECT_EQ(room_of(worker).in_use, need);
    EXPECT_TRUE(room_of(worker).known);
}

TEST(unknown_runs, OfUnknownNeedLeaveNoRoomAtAll)
{
    worker_state worker;
    worker.unknown.show(shown_run, std::nullopt, at(0));

    EXPECT_FALSE(room_of(worker).fits(capacity));
}

TEST(unknown_runs, CountOnceWhenARecordOfThemIsReadLater)
{
    worker_state worker;
    worker.unknown.show(shown_run, std::nullopt, at(0));
    live_run adopted;
    adopted.run = shown_run.run;
    adopted.need = need;
    worker.runs.emplace(batch::to_text(shown_run.task), adopted);

    EXPECT_EQ(room_of(worker).in_use, need);
    EXPECT_TRUE(room_of(worker).known);
}

// Of a task, an earlier run may be there beside the one that the leader knows.
TEST(unknown_runs, CountBesideAnotherRunOfTheTask)
{
    worker_state worker;
    worker.unknown.show(shown_run, need, at(0));
    live_run later;
    later.run = shown_run.run + 1;
    later.need = need;
    worker.runs.emplace(batch::to_text(shown_run.task), later);

    EXPECT_EQ(room_of(worker).in_use, need + need);
}

TEST(unknown_runs, AreGoneWhenALaterListLacksThem)
{
    unknown_runs unknown;
    unknown.show(shown_run, need, at(0));

    unknown.settle(list_without_runs(1, 2));

    EXPECT_TRUE(unknown.empty());
}

TEST(unknown_runs, AreNotGoneWhenAListThatWasAskedForEarlierLacksThem)
{
    unknown_runs unknown;
    unknown.show(shown_run, need, at(10));

    unknown.settle(list_without_runs(5, 20));

    EXPECT_FALSE(unknown.empty());
}

TEST(unknown_runs, AreNotGoneWhenAListThatIsIncompleteLacksThem)
{
    unknown_runs unknown;
    unknown.show(shown_run, need, at(0));
    auto list = list_without_runs(5, 20);
    list.complete = false;

    unknown.settle(list);

    EXPECT_FALSE(unknown.empty());
}

TEST(unknown_runs, ThatMayBeginLaterAreNotGoneWhenAListLacksThem)
{
    unknown_runs unknown;
    unknown.expect(shown_run, need, at(0), at(50));

    unknown.settle(list_without_runs(10, 20));
    EXPECT_FALSE(unknown.empty());
    unknown.settle(list_without_runs(60, 70));

    EXPECT_TRUE(unknown.empty());
}

TEST(unknown_runs, LeaveNoRoomWhileTheNewestListHasEntriesThatCannotBeRead)
{
    worker_state worker;
    auto unreadable = list_without_runs(5, 20);
    unreadable.unreadable = 1;

    worker.unknown.settle(unreadable);
    worker.unknown.settle(list_without_runs(10, 25));

    EXPECT_FALSE(room_of(worker).known);
    worker.unknown.settle(list_without_runs(21, 30));
    EXPECT_TRUE(room_of(worker).known);
}

} // namespace
} // namespace poplarstile::control
