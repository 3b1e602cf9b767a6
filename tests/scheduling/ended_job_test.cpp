#include "scheduling/fake_cluster.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace poplarstile::scheduling
{
namespace
{

using testing::fake_cluster;

constexpr base::milliseconds run_time{500};
/// Long enough for a job to be placed, to run and to be stored.
constexpr base::milliseconds whole_life{2'000};

job_spec job_of(std::string id)
{
    job_spec spec;
    spec.id = std::move(id);
    spec.workspace = "kits";
    spec.shape = {2, 8};
    spec.payload = base::json_text{nlohmann::json{{"run_ms", run_time.count()}}};
    return spec;
}

/// A scheduler of two workers.
class ended_job : public ::testing::Test
{
protected:
    ended_job()
    {
        cluster.start_scheduler();
        run(base::milliseconds{300});
    }

    void run(base::milliseconds duration)
    {
        cluster.run_for(duration, [] {});
    }

    /// Attempts of any job that were started on some worker.
    [[nodiscard]] std::size_t attempts_started() const
    {
        std::set<std::string> attempts;
        const auto add = [&attempts](const auto& tasks) {
            for (const auto& [id, task] : tasks) {
                if (task.was_started) {
                    attempts.insert(id.substr(0, id.rfind('.')));
                }
            }
        };
        for (const auto& [address, worker] : cluster.workers) {
            add(worker.tasks);
            add(worker.forgotten);
        }
        return attempts.size();
    }

    /// Lets the job run and end while the table is away, and its scheduler die before it is back.
    void replace_scheduler_before_the_end_is_stored(const job_spec& spec)
    {
        cluster.submit(spec);
        run(run_time / 2);
        cluster.table_down = true;
        run(whole_life);
        cluster.kill_scheduler();
        cluster.table_down = false;
        cluster.start_scheduler();
        run(whole_life);
    }

    fake_cluster cluster{{{"w0", "w0:1", "r1", 0, 8}, {"w1", "w1:1", "r1", 1, 8}}, 1};
};

TEST_F(ended_job, IsNotRunAgainWhenItsSchedulerDiesBeforeTheEndIsStored)
{
    replace_scheduler_before_the_end_is_stored(job_of("j1"));

    EXPECT_EQ(cluster.state_of("j1"), job_state::completed);
    EXPECT_EQ(attempts_started(), 1U);
}

TEST_F(ended_job, IsNotUnknownWhenItsSchedulerDiesBeforeTheEndIsStored)
{
    auto spec = job_of("j1");
    spec.idempotent = false;

    replace_scheduler_before_the_end_is_stored(spec);

    EXPECT_EQ(cluster.state_of("j1"), job_state::completed);
}

TEST_F(ended_job, IsNotRunAgainWhenItsSubmissionIsRepeatedAfterATakeover)
{
    cluster.submit(job_of("j1"));
    run(whole_life);
    ASSERT_EQ(cluster.state_of("j1"), job_state::completed);
    cluster.kill_scheduler();
    cluster.start_scheduler();
    run(whole_life);

    cluster.repeat_submission("j1");
    run(base::milliseconds{100});

    EXPECT_FALSE(cluster.current().find_job("j1")) << "its row is not a live one";
    run(whole_life);
    EXPECT_EQ(attempts_started(), 1U);
}

// The word of a submission may come before the scan of the lease's new holder is answered.
TEST_F(ended_job, NeverHidesAJobThatStillWaits)
{
    cluster.kill_scheduler();
    cluster.submit(job_of("j1"));
    cluster.start_scheduler();
    cluster.repeat_submission("j1");
    run(whole_life);

    EXPECT_EQ(cluster.state_of("j1"), job_state::completed);
}

/// Two workers, one of them cut from the scheduler that takes over.
class run_on_an_unheard_worker : public ended_job
{
protected:
    void take_over_from(const job_spec& spec)
    {
        cluster.submit(spec);
        run(base::milliseconds{300});
        for (const auto& [address, worker] : cluster.workers) {
            if (!worker.tasks.empty()) {
                cluster.cut_workers.insert(address);
                break;
            }
        }
        cluster.kill_scheduler();
        cluster.start_scheduler();
    }

    /// Attempts of which a member runs now.
    [[nodiscard]] std::size_t attempts_running() const
    {
        std::set<std::string> attempts;
        for (const auto& [address, worker] : cluster.workers) {
            for (const auto& [id, task] : worker.tasks) {
                if (task.state == workers::task_state::running) {
                    attempts.insert(id.substr(0, id.rfind('.')));
                }
            }
        }
        return attempts.size();
    }

    void expect_one_attempt_at_a_time(base::milliseconds duration)
    {
        std::size_t most = 0;
        cluster.run_for(duration, [&] { most = std::max(most, attempts_running()); });
        EXPECT_EQ(most, 1U);
    }
};

TEST_F(run_on_an_unheard_worker, IsNotStartedAgainBeforeItsLeaseRanOut)
{
    auto spec = job_of("j1");
    spec.shape = {1, 8};
    spec.payload = base::json_text{nlohmann::json{{"run_ms", 10'000}}};
    take_over_from(spec);

    expect_one_attempt_at_a_time(base::milliseconds{20'000});
    EXPECT_EQ(cluster.state_of("j1"), job_state::completed);
}

TEST_F(run_on_an_unheard_worker, GoesOnWhenItsWorkerIsHeardInTime)
{
    auto spec = job_of("j1");
    spec.shape = {1, 8};
    spec.payload = base::json_text{nlohmann::json{{"run_ms", 5'000}}};
    take_over_from(spec);
    run(base::milliseconds{1'200});
    cluster.cut_workers.clear();

    expect_one_attempt_at_a_time(base::milliseconds{10'000});
    EXPECT_EQ(cluster.state_of("j1"), job_state::completed);
    EXPECT_EQ(attempts_started(), 1U);
}

TEST_F(ended_job, IsForgottenByItsWorkersWhenTheEndIsStored)
{
    cluster.submit(job_of("j1"));
    run(whole_life);

    ASSERT_EQ(cluster.state_of("j1"), job_state::completed);
    for (const auto& [address, worker] : cluster.workers) {
        EXPECT_TRUE(worker.tasks.empty()) << address;
    }
}

} // namespace
} // namespace poplarstile::scheduling
