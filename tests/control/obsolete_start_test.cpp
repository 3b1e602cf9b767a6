#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

/// Starts whose reason goes while they wait for a connection to their worker.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr const char* id = "0000000000000001";
/// As long as an order may wait before it is given up.
constexpr milliseconds longest_wait{2'400};

class obsolete_start : public testing::Test
{
protected:
    obsolete_start()
    {
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{3}; };
        site.workers.add("w1", "r1-1", worker_capacity);
        site.start("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{1});
    }

    /// From now on starts and stops wait for a connection to the worker.
    void keep_orders_waiting(const std::string& worker, milliseconds span = longest_wait)
    {
        site.workers.connection_wait = [worker, span](const std::string& to,
                                                      const std::string& /*order*/) {
            return to == worker ? span : milliseconds{0};
        };
    }
    /// Orders that are handed over from now on leave at once.
    void let_orders_leave()
    {
        keep_orders_waiting("none");
    }

    [[nodiscard]] bool handed_over_within(std::uint64_t starts, milliseconds span)
    {
        return site.time.run_until(
            [&] { return site.at("vm1").node->local_leader()->counters().starts >= starts; }, span);
    }

    site_fixture site;
};

// A start waited behind calls to a worker that hung, and left over a second after the job had been
// shown as completed: the task ran a second time.
TEST_F(obsolete_start, IsNotSentAfterItsTaskHasEndedOnAnEarlierWorker)
{
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 1; }, seconds{3}));
    site.time.run_for(milliseconds{1'500});
    site.workers.at("w1").answers = false;
    site.workers.add("w2", "r1-2", worker_capacity);
    keep_orders_waiting("w2");
    ASSERT_TRUE(handed_over_within(2, seconds{12})) << "the task is planned again";

    site.workers.at("w1").answers = true;

    EXPECT_EQ(site.await_end(id, seconds{2}), batch::job_status::completed);
    site.time.run_for(seconds{8});
    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(obsolete_start, IsNotSentAfterItsJobWasCancelled)
{
    keep_orders_waiting("w1");
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(handed_over_within(1, seconds{3}));

    site.cancel(id);

    EXPECT_EQ(site.await_end(id, seconds{8}), batch::job_status::cancelled);
    site.time.run_for(seconds{8});
    EXPECT_TRUE(site.workers.starts().empty());
}

// The VM has given the lease back and nobody has taken it yet.
TEST_F(obsolete_start, IsNotSentByAVmThatNoLongerLeads)
{
    keep_orders_waiting("w1");
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(handed_over_within(1, seconds{3}));

    site.at("vm1").node->leave([] {});
    site.time.run_for(seconds{3});
    EXPECT_TRUE(site.workers.starts().empty());
    let_orders_leave();
    site.start("vm2");

    EXPECT_EQ(site.await_end(id, seconds{30}), batch::job_status::completed);
}

TEST_F(obsolete_start, IsNotSentToALaterIncarnationOfItsWorker)
{
    keep_orders_waiting("w1");
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(handed_over_within(1, seconds{3}));

    site.workers.restart("w1");
    site.time.run_for(seconds{3});
    EXPECT_TRUE(site.workers.starts().empty());
    let_orders_leave();

    EXPECT_EQ(site.await_end(id, seconds{30}), batch::job_status::completed);
    EXPECT_GT(site.workers.starts().front().run, 1U);
}

TEST_F(obsolete_start, IsNotSentToAWorkerThatDrains)
{
    keep_orders_waiting("w1", milliseconds{800});
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(handed_over_within(1, seconds{3}));

    site.workers.drain("w1");
    site.time.run_for(seconds{3});

    EXPECT_TRUE(site.workers.starts().empty());
    site.workers.add("w2", "r1-2", worker_capacity);
    EXPECT_EQ(site.await_end(id, seconds{10}), batch::job_status::completed);
}

// Starts without an answer were sent again to a worker that had said seconds before that it drains.
TEST_F(obsolete_start, IsNotSentAgainToAWorkerThatDrains)
{
    bool lost = true;
    site.workers.decide = [&lost](const std::string& /*worker*/, const std::string& order) {
        return order == "start" && lost ? fake_workers::fate::swallow : fake_workers::fate::serve;
    };
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(handed_over_within(1, seconds{3}));

    site.workers.drain("w1");
    site.time.run_for(milliseconds{100});
    lost = false;
    site.time.run_for(seconds{3});

    EXPECT_TRUE(site.workers.starts().empty());
    site.workers.add("w2", "r1-2", worker_capacity);
    EXPECT_EQ(site.await_end(id, seconds{10}), batch::job_status::completed);
}

// What waited is sent all the same when nothing has changed, and once.
TEST_F(obsolete_start, IsNoneWhileItsTaskIsWanted)
{
    keep_orders_waiting("w1", milliseconds{800});
    site.submit(make_job(id, 1, small_task));

    EXPECT_EQ(site.await_end(id, seconds{8}), batch::job_status::completed);
    ASSERT_EQ(site.workers.starts().size(), 1U);
    EXPECT_EQ(site.workers.starts().front().run, 1U);
}

} // namespace
} // namespace poplarstile::tests
