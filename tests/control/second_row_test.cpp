#include "support/row_retention_test.hpp"

/// A job that is stored in two parts, because a reply was lost, runs once, whichever of the parts
/// a new leader can read.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class second_row : public row_retention_test
{
protected:
    second_row() : row_retention_test{seconds{20}}
    {
        site.workers.add("w2", "r1-1", worker_capacity);
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            site.start(name);
        }
    }

    [[nodiscard]] store::row_id row_in(const std::string& part) const
    {
        return {"jobs", part, id};
    }
    [[nodiscard]] std::string other_part() const
    {
        return site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    }
    void store_in(const std::string& part)
    {
        site.store.put(row_in(part), batch::encode(make_job(id, 2, small_task)));
    }
    /// Stores the job in a part, and waits until its first task has ended and the second runs.
    void run_first_task_from(const std::string& part)
    {
        site.workers.duration = [](const std::string& task) {
            return task.ends_with("0") ? milliseconds{500} : milliseconds{20'000};
        };
        store_in(part);
        ASSERT_TRUE(
            site.time.run_until([&] { return site.workers.done().size() == 1; }, seconds{3}));
        site.time.run_for(seconds{1});
    }
    void lose_leader()
    {
        site.stop(site.leading_vm()->name);
        ASSERT_NE(site.await_leader(), nullptr);
    }
    void expect_ran_once() const
    {
        EXPECT_EQ(site.workers.starts().size(), 2U);
        EXPECT_TRUE(site.workers.doubled().empty());
        EXPECT_EQ(site.workers.done().size(), 2U);
        for (const auto& [task, times] : site.workers.done()) {
            EXPECT_EQ(times, 1) << task;
        }
    }

    std::string id{"0000000000000001"};
};

TEST_F(second_row, DoesNotRunWhileThePartWithTheRunningTasksIsAway)
{
    ASSERT_NE(site.await_leader(), nullptr);
    run_first_task_from(site.part_of(id));
    site.store.away_parts = {other_part()};
    store_in(other_part());
    site.time.run_for(seconds{1});

    site.store.away_parts = {site.part_of(id)};
    lose_leader();
    site.time.run_for(seconds{12});
    site.store.away_parts.clear();
    site.time.run_for(seconds{30});

    expect_ran_once();
    EXPECT_EQ(site.ended_as(id), batch::job_status::completed);
    EXPECT_FALSE(site.store.find(row_in(other_part())));
}

TEST_F(second_row, TheEndOfATaskIsKeptUntilThePartThatRecordsItIsRead)
{
    ASSERT_NE(site.await_leader(), nullptr);
    run_first_task_from(site.part_of(id));
    site.store.away_parts = {other_part()};
    store_in(other_part());
    site.time.run_for(seconds{1});

    site.store.away_parts = {site.part_of(id)};
    lose_leader();
    site.time.run_for(seconds{25});
    ASSERT_EQ(site.workers.done().size(), 2U);
    site.store.away_parts.clear();
    site.time.run_for(seconds{10});

    expect_ran_once();
    EXPECT_EQ(site.ended_as(id), batch::job_status::completed);
}

TEST_F(second_row, IsDroppedByALeaderThatReadsItFirst)
{
    // The part that records the running tasks may be read before the other one or after it.
    ASSERT_NE(site.await_leader(), nullptr);
    for (const auto& running : site.parts.names()) {
        const auto index = site.parts.index_of(running);
        id = fmt::format("{:016x}", index + 1);
        const auto second = site.parts.name((index + 1) % site.parts.size());
        const auto started = site.workers.starts().size();
        store_in(running);
        ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == started + 2; },
                                        seconds{3}));
        site.time.run_for(seconds{1});
        auto* const leader = site.leading_vm();
        ASSERT_NE(leader, nullptr);
        // Stored at the moment at which the leader is lost.
        site.stop(leader->name);
        store_in(second);
        ASSERT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{2});
        site.start(leader->name);

        EXPECT_EQ(site.workers.starts().size(), started + 2) << "running in part " << running;
        EXPECT_FALSE(site.store.find(row_in(second)));
        EXPECT_TRUE(site.store.find(row_in(running)));
    }
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(second_row, InTheHomePartDoesNotRunBesideTasksThatTheWorkersList)
{
    // It was stored late, when the job ran from another part, and that part is away now.
    ASSERT_NE(site.await_leader(), nullptr);
    run_first_task_from(other_part());
    site.stop(site.leading_vm()->name);
    store_in(site.part_of(id));
    site.store.away_parts = {other_part()};
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(seconds{12});
    site.store.away_parts.clear();
    site.time.run_for(seconds{30});

    expect_ran_once();
}

TEST_F(second_row, AJobStoredElsewhereRunsWhileItsHomePartIsAway)
{
    ASSERT_NE(site.await_leader(), nullptr);
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{500}; };
    site.store.away_parts = {site.part_of(id)};
    site.time.run_for(seconds{2});

    store_in(other_part());

    EXPECT_TRUE(site.time.run_until([&] { return site.workers.done().size() == 2; }, seconds{3}));
}

TEST_F(second_row, AJobStoredElsewhereRunsOnUnderTheNextLeaderWhileItsHomePartIsAway)
{
    // The workers have no room for it before the leader changes.
    ASSERT_NE(site.await_leader(), nullptr);
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{500}; };
    for (const auto* const worker : {"w1", "w2"}) {
        site.workers.drain(worker);
    }
    site.time.run_for(seconds{1});
    site.store.away_parts = {site.part_of(id)};
    site.time.run_for(seconds{1});
    store_in(other_part());
    site.time.run_for(seconds{1});

    lose_leader();
    site.workers.add("w3", "r1-1", worker_capacity);

    EXPECT_TRUE(site.time.run_until([&] { return site.workers.done().size() == 2; }, seconds{5}));
}

} // namespace
} // namespace poplarstile::tests
