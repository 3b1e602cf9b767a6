#include "control/crashing_task_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

/// Starts for which their workers' hosts refuse the connection.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class refused_start : public crashing_task_base
{
protected:
    refused_start()
    {
        deadly = [](const std::string& /*task*/) { return false; };
    }

    /// The worker's process ends, its host is up, and the process is back some time later.
    void exit_for_a_while(const std::string& worker)
    {
        site.workers.exit(worker);
        site.time.after(away, [this, worker] { site.workers.restart(worker); });
    }

    [[nodiscard]] std::uint64_t crashed_runs()
    {
        return site.at("vm1").node->local_leader()->counters().crashed_runs;
    }
};

// Idle workers crashed right before a job's starts came: it was given up, although nothing of it
// had ever begun.
TEST_F(refused_start, IsNoRunUnderWhichItsWorkerCrashed)
{
    int exits = 0;
    site.workers.connection_wait = [&](const std::string& worker, const std::string& order) {
        if (order == "start" && exits < 6 && site.workers.at(worker).up) {
            ++exits;
            exit_for_a_while(worker);
        }
        return milliseconds{0};
    };
    site.submit(make_job(deadly_job, 1, small_task));

    EXPECT_EQ(site.await_end(deadly_job, seconds{60}), batch::job_status::completed);
    EXPECT_EQ(exits, 6);
    EXPECT_EQ(crashed_runs(), 0U);
    EXPECT_EQ(site.workers.starts().size(), 1U);
}

// What surely did not begin there need not wait for the worker's lease.
TEST_F(refused_start, LeavesItsTaskToAnotherWorkerAtOnce)
{
    int exits = 0;
    site.workers.connection_wait = [&](const std::string& worker, const std::string& order) {
        if (order == "start" && exits == 0) {
            ++exits;
            site.workers.exit(worker);
        }
        return milliseconds{0};
    };
    site.submit(make_job(deadly_job, 1, small_task));

    EXPECT_TRUE(
        site.time.run_until([&] { return !site.workers.starts().empty(); }, milliseconds{500}));
    EXPECT_EQ(exits, 1);
}

// The first sending leaves and crashes the worker before it answers; only those that follow are
// refused. The platform forbids a sixth start.
TEST_F(refused_start, DoesNotHideThatAnEarlierSendingHasCrashedItsWorker)
{
    site.workers.on_start = [this](const fleet::start_order& order) {
        ++starts[batch::to_text(order.task)];
        site.time.after(milliseconds{0},
                        [this, worker = order.to.life.worker] { exit_for_a_while(worker); });
    };
    site.submit(make_job(deadly_job, 1, small_task));

    EXPECT_EQ(site.await_end(deadly_job, seconds{120}), batch::job_status::failed);
    EXPECT_LE(starts.begin()->second, max_starts);
}

} // namespace
} // namespace poplarstile::tests
