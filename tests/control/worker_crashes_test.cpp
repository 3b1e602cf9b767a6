#include "control/crashing_task_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/// Crashes of workers that no task is to blame for.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class worker_crashes : public crashing_task_base
{
protected:
    worker_crashes()
    {
        deadly = [](const std::string& /*task*/) { return false; };
    }
};

TEST_F(worker_crashes, FailNoJobWhenAWholeRackCrashesAgainAndAgain)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{4}; };
    std::vector<std::string> jobs;
    for (std::uint64_t index = 1; index <= 8; ++index) {
        jobs.push_back(fmt::format("{:016x}", index));
        site.submit(make_job(jobs.back(), 4, small_task));
    }

    site.time.run_for(seconds{2});
    for (int crash = 0; crash < 3; ++crash) {
        for (const auto* const id : {"w1", "w2", "w3", "w4", "w5", "w6"}) {
            crash_soon(id, milliseconds{0});
        }
        site.time.run_for(seconds{6});
    }

    for (const auto& job : jobs) {
        EXPECT_EQ(site.await_end(job, seconds{120}), batch::job_status::completed) << job;
    }
}

// Workers that are back for a short time only take the runs of the same jobs again and again.
TEST_F(worker_crashes, FailNoJobWhenOneWorkerGoesDownAndUpByTurns)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{3}; };
    std::vector<std::string> jobs;
    for (std::uint64_t index = 1; index <= 5; ++index) {
        jobs.push_back(fmt::format("{:016x}", index));
        site.submit(make_job(jobs.back(), 8, small_task));
    }

    for (int crash = 0; crash < 8; ++crash) {
        site.time.run_for(milliseconds{1'500});
        crash_soon("w1", milliseconds{0});
        crash_soon("w2", milliseconds{0});
        site.time.run_for(away + milliseconds{200});
    }

    for (const auto& job : jobs) {
        EXPECT_EQ(site.await_end(job, seconds{120}), batch::job_status::completed) << job;
    }
}

// The store is slow: the start is sent when the worker has been gone for a while.
TEST_F(worker_crashes, AreNotBlamedOnRunsThatAreSentAfterwards)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{20}; };
    site.submit(make_job("0000000000000001", 48, small_task));
    site.time.run_for(seconds{1});
    ASSERT_EQ(site.workers.starts().size(), 48U);
    const auto before = site.at("vm1").node->local_leader()->counters().crashed_runs;
    site.workers.decide = [](const std::string& /*worker*/, const std::string& order) {
        return order == "start" ? fake_workers::fate::swallow : fake_workers::fate::serve;
    };

    for (const auto* const id : {"w1", "w2"}) {
        crash_soon(id, milliseconds{0});
    }
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.at("vm1").node->local_leader()->counters().crashed_runs - before, 16U);
}

// Four workers crash one after the other, each under another member of a gang.
TEST_F(worker_crashes, UnderDifferentMembersDoNotFailTheirGang)
{
    constexpr std::size_t members = 5;
    constexpr batch::resources whole_worker{30'000, 60'000, 8};
    site.workers.duration = [](const std::string& /*task*/) { return seconds{9}; };
    site.workers.gang_size = [](const std::string& /*task*/) { return members; };
    auto job = make_job(deadly_job, members, whole_worker);
    job.spec.steps.front().gang = true;
    site.submit(job);
    ASSERT_TRUE(site.time.run_until([&] { return starts.size() == members; }, seconds{3}));

    for (std::size_t member = 0; member < members; ++member) {
        const auto task = fmt::format("{}.0.0.{}", deadly_job, member);
        const auto start =
            std::ranges::find(site.workers.starts().rbegin(), site.workers.starts().rend(), task,
                              &carried_start::task);
        ASSERT_NE(start, site.workers.starts().rend());
        crash_soon(start->worker, milliseconds{0});
        site.time.run_for(seconds{6});
    }

    EXPECT_EQ(site.await_end(deadly_job, seconds{60}), batch::job_status::completed);
    for (const auto& [task, count] : starts) {
        EXPECT_GT(count, 1U) << task;
    }
}

TEST_F(worker_crashes, DoNotIncludeWorkersThatWereOnlyCutOff)
{
    constexpr seconds longer_than_leases{13};
    site.workers.duration = [](const std::string& /*task*/) { return seconds{9}; };
    site.submit(make_job(deadly_job, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return !starts.empty(); }, seconds{3}));

    for (std::size_t cut = 1; cut <= 6; ++cut) {
        const auto worker = site.workers.starts().back().worker;
        site.workers.at(worker).answers = false;
        site.time.run_for(longer_than_leases);
        site.workers.at(worker).answers = true;
        site.time.run_for(seconds{1});
    }

    EXPECT_EQ(site.await_end(deadly_job, seconds{30}), batch::job_status::completed);
    EXPECT_EQ(site.at("vm1").node->local_leader()->counters().worker_crashes, 0U);
}

// The worker is cut off, and its registration can't return while the store is away.
TEST_F(worker_crashes, DoNotIncludeWorkersThatAreMissingWhileTheStoreIsAway)
{
    constexpr seconds longer_than_leases{13};
    bool directory_away = false;
    auto& follow = site.at("vm1").directory.follow;
    follow = [&directory_away,
              direct = follow](store::row_version after, milliseconds wait,
                               const std::function<void(fleet::directory_reply)>& handler) {
        direct(after, wait, [&directory_away, handler](const fleet::directory_reply& reply) {
            handler(directory_away ? fleet::directory_reply{} : reply);
        });
    };
    site.workers.duration = [](const std::string& /*task*/) { return seconds{9}; };
    site.submit(make_job(deadly_job, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return !starts.empty(); }, seconds{3}));
    const auto worker = site.workers.starts().back().worker;
    site.workers.at(worker).answers = false;
    site.time.run_for(registration_expiry);
    site.workers.set_listed(worker, false);
    site.time.run_for(milliseconds{100});

    directory_away = true;
    site.time.run_for(longer_than_leases);
    directory_away = false;
    site.time.run_for(seconds{1});
    site.workers.set_listed(worker, true);
    site.workers.at(worker).answers = true;

    EXPECT_EQ(site.await_end(deadly_job, seconds{30}), batch::job_status::completed);
    EXPECT_EQ(site.at("vm1").node->local_leader()->counters().crashed_runs, 0U);
}

TEST_F(worker_crashes, DoNotIncludeWorkersThatDrainAndLeave)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{30}; };
    site.submit(make_job(deadly_job, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return !starts.empty(); }, seconds{3}));

    for (std::size_t left = 1; left <= 5; ++left) {
        const auto worker = site.workers.starts().back().worker;
        site.workers.drain(worker);
        site.time.run_for(seconds{2});
        site.workers.crash(worker);
        site.workers.displace(worker, worker + "'");
        site.workers.set_listed(worker, false);
        site.time.run_for(seconds{14});
    }

    EXPECT_EQ(site.await_end(deadly_job, seconds{60}), batch::job_status::completed);
}

} // namespace
} // namespace poplarstile::tests
