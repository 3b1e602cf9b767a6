#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// A worker restarts under the same id while orders to it are in flight: an order that names the
/// worker reaches the new incarnation as well as the old one.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr const char* job = "0000000000000001";

class worker_rebirth : public testing::Test
{
protected:
    worker_rebirth()
    {
        site.workers.add("w1", "r1-1", worker_capacity);
        site.workers.add("w2", "r1-1", worker_capacity);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{3}; };
        site.start("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
    }

    site_fixture site;
};

TEST_F(worker_rebirth, ARunThatTheNewLifeTookIsNotRunElsewhereBesideIt)
{
    bool restarted = false;
    site.workers.decide = [this, &restarted](const std::string& worker, const std::string& order) {
        if (order == "start" && !restarted) {
            restarted = true;
            site.workers.restart(worker);
        }
        return fake_workers::fate::serve;
    };
    site.submit(make_job(job, 1, small_task));

    EXPECT_EQ(site.await_end(job), batch::job_status::completed);

    EXPECT_TRUE(restarted);
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(worker_rebirth, RunListedByOldIncarnationIsStartedAgainAtOnce)
{
    site.submit(make_job(job, 1, small_task));
    site.time.run_for(seconds{2});
    ASSERT_EQ(site.workers.starts().size(), 1U);
    const auto worker = site.workers.starts().front().worker;

    site.workers.restart(worker);
    site.time.run_for(milliseconds{200});

    EXPECT_EQ(site.workers.starts().size(), 2U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

// Each incarnation numbers its ends from 1, and a poll meant for the old incarnation may reach the
// new one, where it acknowledges ends that the leader has not received.
TEST_F(worker_rebirth, EndsOfNewIncarnationAreNotAcknowledgedBeforeReceipt)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{300}; };
    site.submit(make_job(job, 12, small_task));
    ASSERT_EQ(site.await_end(job), batch::job_status::completed);
    const std::string second_job = "0000000000000002";
    site.submit(make_job(second_job, 12, small_task));
    site.time.run_for(milliseconds{200});

    site.workers.restart("w1");
    site.workers.restart("w2");

    EXPECT_EQ(site.await_end(second_job), batch::job_status::completed);
    for (const auto& [task, times] : site.workers.done()) {
        EXPECT_EQ(times, 1) << task;
    }
}

// The leader learns of the restart late: the new incarnation accepts a start, ends the run, and is
// then polled with the old incarnation's count of acknowledged ends. The clock in its reply to the
// start reveals the restart.
TEST_F(worker_rebirth, AnEndBeforeTheNewsOfTheRebirthIsNotForgotten)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{30}; };
    site.submit(make_job(job, 12, small_task));
    ASSERT_EQ(site.await_end(job), batch::job_status::completed);
    site.time.run_for(milliseconds{300});
    for (const auto* const id : {"w1", "w2"}) {
        site.workers.restart_untold(id);
    }

    const std::string second_job = "0000000000000002";
    site.submit(make_job(second_job, 4, small_task));

    EXPECT_EQ(site.await_end(second_job), batch::job_status::completed);
    for (const auto& [task, times] : site.workers.done()) {
        EXPECT_EQ(times, 1) << task;
    }
}

// The reply to a start arrives after the news that the worker has restarted. The clock in it is
// that of the earlier incarnation, far ahead of the new one's.
TEST_F(worker_rebirth, AClockOfAnEarlierIncarnationDoesNotLengthenLeases)
{
    auto& orders = site.at("vm1").orders;
    orders.start = [this, start = orders.start](const fleet::start_order& order, auto reply) {
        start(order, [this, reply](const fleet::order_reply& answer) {
            site.time.after(milliseconds{200}, [reply, answer] { reply(answer); });
        });
    };
    site.time.run_for(seconds{60});
    site.submit(make_job(job, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 1; }, seconds{2}));
    const auto worker = site.workers.starts().front().worker;
    site.time.run_for(milliseconds{20});
    site.workers.restart(worker);
    site.time.run_for(milliseconds{300});

    milliseconds longest{0};
    site.workers.on_start = [&](const fleet::start_order& order) {
        const auto& started = site.workers.at(order.to.life.worker);
        const auto clock = base::milliseconds_between(started.born_at, site.time.now());
        longest = std::max(longest, milliseconds{order.lease_until - clock});
    };
    site.submit(make_job("0000000000000002", 24, small_task));

    EXPECT_EQ(site.await_end("0000000000000002"), batch::job_status::completed);
    // A clock is known but for the time that a poll waits at the worker.
    EXPECT_LE(longest, site.leading.longest_lease + site.leading.poll_wait);
}

// The clock in the reply to the start shows that the worker had restarted before it: the run works
// on in the later incarnation, and the crash before it speaks against no task.
TEST_F(worker_rebirth, AStartThatTheLaterIncarnationTookIsNotCountedAsACrashUnderIt)
{
    site.time.run_for(seconds{5});
    for (int crash = 0; crash < 4; ++crash) {
        for (const auto* const id : {"w1", "w2"}) {
            site.workers.restart_untold(id);
        }
        const auto id = fmt::format("{:016}", crash + 1);
        site.submit(make_job(id, 1, small_task));
        site.time.run_for(milliseconds{300});
        for (const auto* const worker : {"w1", "w2"}) {
            site.workers.renew(worker);
        }
        ASSERT_EQ(site.await_end(id), batch::job_status::completed);
        const auto* const leader = site.leading_vm()->node->local_leader();
        EXPECT_EQ(leader->counters().crashed_runs, 0U) << crash;
    }
}

// All sendings of a start are unanswered, so the run is stopped; the worker restarts, and what the
// earlier incarnation said to the stop arrives afterwards. The first sending reaches the new one.
TEST_F(worker_rebirth, AStopThatTheOldIncarnationAcknowledgedForbidsNothingInTheNewOne)
{
    auto& orders = site.at("vm1").orders;
    std::string target;
    orders.start = [this, &target, start = orders.start](const fleet::start_order& order,
                                                         auto reply) {
        if (order.run > 1) {
            start(order, reply);
            return;
        }
        if (target.empty()) {
            target = order.to.life.worker;
            site.time.after(seconds{3}, [start, order] {
                start(order, [](const fleet::order_reply& /*reply*/) {});
            });
        }
        site.time.after(seconds{1}, [reply] { reply({}); });
    };
    bool restarted = false;
    orders.stop = [this, &restarted, stop = orders.stop](const fleet::stop_order& order,
                                                         auto reply) {
        if (restarted) {
            site.time.after(seconds{4}, [stop, order, reply] { stop(order, reply); });
            return;
        }
        stop(order, [this, reply](const fleet::order_reply& answer) {
            site.time.after(milliseconds{100}, [reply, answer] { reply(answer); });
        });
        site.time.after(milliseconds{20}, [this, &restarted, id = order.to.life.worker] {
            restarted = true;
            site.workers.restart(id);
        });
    };
    site.submit(make_job(job, 1, small_task));

    EXPECT_EQ(site.await_end(job), batch::job_status::completed);

    EXPECT_TRUE(restarted);
    EXPECT_TRUE(site.workers.doubled().empty());
}

// A start is under way when its worker restarts, cut off from the leader and the store. The new
// incarnation takes it seconds later, on a clock that reads less, and grants it the longest lease
// from then on; the run was given up when the lease on the earlier clock was over.
TEST_F(worker_rebirth, AStartThatTheNewIncarnationTakesLateIsNotRunElsewhereBesideIt)
{
    // The earlier clock is far ahead of the new one.
    site.time.run_for(seconds{60});
    std::string target;
    auto& orders = site.at("vm1").orders;
    orders.start = [this, &target, direct = site.workers.orders().start,
                    start = orders.start](const fleet::start_order& order, auto reply) {
        if (!target.empty()) {
            start(order, reply);
            return;
        }
        target = order.to.life.worker;
        site.cut("vm1", target);
        site.workers.restart_untold(target);
        site.time.after(seconds{4}, [direct, order] {
            direct(order, [](const fleet::order_reply& /*reply*/) {});
        });
        site.time.after(site.workers.call_timeout, [reply] { reply({}); });
    };
    site.workers.duration = [](const std::string& /*task*/) { return seconds{20}; };
    site.submit(make_job(job, 1, small_task));
    site.time.run_for(seconds{20});

    EXPECT_EQ(site.workers.starts().size(), 2U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

} // namespace
} // namespace poplarstile::tests
