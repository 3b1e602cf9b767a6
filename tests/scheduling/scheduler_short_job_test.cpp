#include "scheduling/scheduler.hpp"
#include "workers/worker_client.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarstile::scheduling
{
namespace
{

/// A scheduler of one worker that has reported once; every answer is given by hand.
class scheduler_of_one_worker : public testing::Test
{
protected:
    scheduler_of_one_worker()
    {
        for (const auto& action : tell(lease_gained{65'536, "lease/d", 1})) {
            if (const auto* const renewal = std::get_if<renew_worker>(&action)) {
                round_ = renewal->round;
            }
        }
        (void)tell(jobs_listed{});
        workers::lease_answer report{.result = workers::lease_answer::kind::renewed};
        report.report.worker = "w1";
        (void)tell(worker_reported{"w1", round_, std::move(report)});
    }

    actions tell(event happened)
    {
        now_ += base::milliseconds{1};
        return scheduler_.decide(std::move(happened), now_);
    }

    actions answer(const std::string& task, const std::string& order, workers::task_state state)
    {
        return tell(task_answered{task, order, {workers::task_answer::kind::accepted, state}});
    }

    /// The task that a hold among the actions names; empty when there is none.
    static std::string start_of(const actions& all)
    {
        for (const auto& action : all) {
            if (const auto* const hold = std::get_if<hold_task>(&action)) {
                return hold->call.task;
            }
        }
        return {};
    }

    scheduler scheduler_{{.failure_domain = "d", .run_id = "run"},
                         std::vector<worker_description>{{"w1", "127.0.0.1:1", "r1", 0, 8}}};
    base::time_point now_{base::milliseconds{10'000}};
    std::uint64_t round_ = 0;
};

TEST_F(scheduler_of_one_worker, says_that_a_job_ran_which_ended_before_it_was_seen_running)
{
    stored_job job;
    job.spec.id = "j1";
    job.spec.workspace = "kits";
    job.spec.shape = {1, 1};
    job.version = 1;
    std::string task;
    for (const auto& action : tell(job_submitted{job})) {
        if (const auto* const hold = std::get_if<hold_task>(&action)) {
            task = hold->call.task;
        }
    }
    ASSERT_FALSE(task.empty()) << "a free worker takes the job at once";
    (void)answer(task, "hold", workers::task_state::held);

    const auto out = answer(task, "release", workers::task_state::completed);

    const auto is_start = [](const action& one) {
        const auto* const noted = std::get_if<note_event>(&one);
        return noted != nullptr && noted->kind == "job.running";
    };
    EXPECT_TRUE(std::ranges::any_of(out, is_start)) << "its start is missing from the time line";
}

// Without its record a later scheduler would start the job again after its end.
TEST_F(scheduler_of_one_worker, lets_tasks_be_whose_job_row_it_cannot_read)
{
    (void)tell(lease_lost{});
    for (const auto& action : tell(lease_gained{131'072, "lease/d", 2})) {
        if (const auto* const renewal = std::get_if<renew_worker>(&action)) {
            round_ = renewal->round;
        }
    }
    (void)tell(jobs_listed{.unreadable = {"j1"}});
    workers::lease_answer report{.result = workers::lease_answer::kind::renewed};
    report.report.tasks = {{"j1.65536.1.0", "j1", 1, 0, {0}, workers::task_state::completed},
                           {"j2.65536.1.0", "j2", 1, 0, {1}, workers::task_state::completed}};

    std::vector<std::string> forgotten;
    for (const auto& action : tell(worker_reported{"w1", round_, std::move(report)})) {
        if (const auto* const order = std::get_if<order_task>(&action)) {
            forgotten.push_back(order->task);
        }
    }

    EXPECT_EQ(forgotten, std::vector<std::string>{"j2.65536.1.0"});
}

// Somebody else answers at the worker's address, while the worker runs the task.
TEST_F(scheduler_of_one_worker, does_not_run_a_task_again_that_another_worker_does_not_list)
{
    stored_job job;
    job.spec.id = "j1";
    job.spec.workspace = "kits";
    job.spec.shape = {1, 1};
    job.version = 1;
    const auto task = start_of(tell(job_submitted{job}));
    ASSERT_FALSE(task.empty());
    (void)answer(task, "hold", workers::task_state::held);
    (void)answer(task, "release", workers::task_state::running);

    std::string again;
    const auto end = now_ + base::milliseconds{1'500};
    while (now_ < end) {
        now_ += base::milliseconds{49};
        const auto out = tell(time_passed{});
        again += start_of(out);
        for (const auto& action : out) {
            if (const auto* const renewal = std::get_if<renew_worker>(&action)) {
                const net::http_reply reply{.outcome = net::delivery::answered,
                                            .status = 200,
                                            .body = R"({"worker":"w2","token":1,"tasks":[]})"};
                again += start_of(tell(worker_reported{
                    "w1", renewal->round, workers::read_lease_answer(reply, renewal->worker)}));
            }
        }
    }

    EXPECT_EQ(again, "") << "the lease of the first run has not run out";
}

} // namespace
} // namespace poplarstile::scheduling
