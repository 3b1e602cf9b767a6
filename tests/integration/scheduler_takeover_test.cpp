#include "integration/observations.hpp"

#include <csignal>

namespace poplarstile::integration
{
namespace
{

using base::milliseconds;

class scheduler_takeover : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started = cluster::start({.vms_per_domain = 3, .rules = request_rules()});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system_ = std::move(started).value();
        holder_ = await_scheduler(*system_, "centro");
        ASSERT_FALSE(holder_.empty());
        other_ = other_than(*system_, holder_);
    }

    std::string submit(const std::string& key, const std::string& shape, std::int64_t run_ms)
    {
        const auto reply = submit_job(*system_, other_, key, shape, run_ms);
        EXPECT_EQ(reply.status, 202) << reply.body;
        return job_of(reply);
    }

    void expect_completed(const std::string& job, milliseconds longest)
    {
        EXPECT_TRUE(
            eventually(longest, [&] { return job_state(*system_, other_, job) == "completed"; }))
            << job << " is " << job_state(*system_, other_, job);
    }

    void expect_promises_kept()
    {
        const auto found = bench::checker::check(system_->history(), {});
        EXPECT_TRUE(found.empty()) << describe(found);
    }

    std::unique_ptr<cluster> system_;
    std::string holder_;
    std::string other_;
};

TEST_F(scheduler_takeover, places_the_next_job_within_five_seconds_of_a_kill)
{
    const auto killed_us = base::wall_clock_us();
    system_->kill_vm(holder_);
    const auto job = submit("after-kill", "2x8", 300);

    expect_completed(job, milliseconds{12'000});

    const auto tasks = started_tasks(*system_, job);
    ASSERT_EQ(tasks.size(), 2U);
    const auto took_ms = (tasks[0].value("released_us", std::int64_t{0}) - killed_us) / 1'000;
    report_ms("kill_to_next_placement", took_ms);
    EXPECT_LT(took_ms, 5'000);
    expect_promises_kept();
}

TEST(scheduler_takeover_with_default_times, places_the_next_job_within_five_seconds_of_a_kill)
{
    auto started = cluster::start(
        {.vms_per_domain = 4, .rules = request_rules(), .settings = default_times()});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();
    for (int round = 0; round < 3; ++round) {
        const auto holder = await_scheduler(system, "centro");
        ASSERT_FALSE(holder.empty());
        const auto other = other_than(system, holder);
        const auto killed_us = base::wall_clock_us();
        system.kill_vm(holder);
        const auto job =
            job_of(submit_job(system, other, fmt::format("round-{}", round), "2x8", 200));
        ASSERT_TRUE(eventually(milliseconds{10'000},
                               [&] { return started_tasks(system, job).size() == 2; }));
        const auto released =
            started_tasks(system, job).at(0).value("released_us", std::int64_t{0});
        report_ms("kill_to_next_placement_default_times", (released - killed_us) / 1'000);
        EXPECT_LT((released - killed_us) / 1'000, 5'000);
    }
}

TEST_F(scheduler_takeover, keeps_the_gang_that_runs_when_its_scheduler_is_killed)
{
    const auto job = submit("before-kill", "2x8", 6'000);
    ASSERT_TRUE(
        eventually(milliseconds{4'000}, [&] { return started_tasks(*system_, job).size() == 2; }));

    system_->kill_vm(holder_);

    expect_completed(job, milliseconds{15'000});
    EXPECT_EQ(started_tasks(*system_, job).size(), 2U) << "no member was started a second time";
    expect_promises_kept();
}

TEST_F(scheduler_takeover, a_holder_frozen_past_its_lease_does_no_harm_when_it_wakes)
{
    const auto running = submit("running", "1x8", 7'000);
    ASSERT_TRUE(eventually(milliseconds{4'000},
                           [&] { return started_tasks(*system_, running).size() == 1; }));
    system_->vm(holder_).send_signal(SIGSTOP);
    std::vector<std::string> jobs{running};
    for (int number = 0; number < 4; ++number) {
        jobs.push_back(submit(fmt::format("frozen-{}", number), "2x4", 300));
    }
    wait(milliseconds{6'000});

    system_->vm(holder_).send_signal(SIGCONT);

    for (const auto& job : jobs) {
        expect_completed(job, milliseconds{12'000});
        EXPECT_LE(started_tasks(*system_, job).size(), 2U) << job << " ran twice";
    }
    EXPECT_TRUE(eventually(milliseconds{3'000}, [&] {
        return !system_->status(holder_)["scheduler"].value("is_self", true);
    })) << "the old holder still believes that it holds the lease";
    expect_promises_kept();
}

TEST_F(scheduler_takeover, a_holder_cut_from_the_platform_keeps_what_runs_alive)
{
    const auto job = submit("long", "2x8", 7'000);
    ASSERT_TRUE(
        eventually(milliseconds{4'000}, [&] { return started_tasks(*system_, job).size() == 2; }));

    system_->set_platform({{"down", true}});
    wait(milliseconds{6'000});
    system_->set_platform({{"down", false}});

    expect_completed(job, milliseconds{12'000});
    EXPECT_EQ(started_tasks(*system_, job).size(), 2U) << "worker leases were renewed throughout";
    expect_promises_kept();
}

TEST_F(scheduler_takeover, a_holder_cut_from_its_workers_leaves_no_partial_gang)
{
    const auto job = submit("cut", "2x8", 5'000);
    ASSERT_TRUE(
        eventually(milliseconds{4'000}, [&] { return started_tasks(*system_, job).size() == 2; }));
    for (const auto& worker : system_->workers()) {
        system_->set_link(holder_, worker, "cut");
    }
    wait(milliseconds{5'000});
    system_->heal_links();

    EXPECT_TRUE(eventually(milliseconds{20'000},
                           [&] { return job_state(*system_, other_, job) == "completed"; }));
    expect_promises_kept();
}

TEST_F(scheduler_takeover, work_dies_with_its_leases_when_platform_and_holder_are_gone_and_restarts)
{
    const auto job = submit("double", "1x8", 3'500);
    ASSERT_TRUE(
        eventually(milliseconds{4'000}, [&] { return started_tasks(*system_, job).size() == 1; }));
    system_->set_platform({{"down", true}});
    system_->kill_vm(holder_);
    wait(milliseconds{5'000});
    const auto healed_us = base::wall_clock_us();

    system_->set_platform({{"down", false}});

    const auto next = submit("after-double", "1x4", 100);
    expect_completed(next, milliseconds{15'000});
    expect_completed(job, milliseconds{20'000});
    const auto tasks = started_tasks(*system_, next);
    ASSERT_EQ(tasks.size(), 1U);
    report_ms("platform_back_to_next_placement",
              (tasks[0].value("released_us", std::int64_t{0}) - healed_us) / 1'000);
    expect_promises_kept();
}

} // namespace
} // namespace poplarstile::integration
