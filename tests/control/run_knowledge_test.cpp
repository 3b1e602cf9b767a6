#include "control/run_knowledge.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

/// What a leader says of a run that a worker lists and that it does not count there.
namespace poplarstile::control
{
namespace
{

const batch::worker_incarnation worker{"w1", 1};
constexpr batch::task_ref first{0, 0, 0};

batch::job job_of_one_task()
{
    batch::submission accepted;
    accepted.job = "j1";
    batch::step_spec step;
    step.task_count = 1;
    step.need = {1'000, 1'000, 1};
    accepted.spec.steps.push_back(step);
    return batch::job{std::move(accepted)};
}

TEST(unknown_run, IsToldByTheStateOfItsTask)
{
    EXPECT_EQ(what_is_known(nullptr, first, 1), known_of_run::job_unknown);
    auto job = job_of_one_task();
    EXPECT_EQ(what_is_known(&job, {0, 0, 7}, 1), known_of_run::task_unknown);
    EXPECT_EQ(what_is_known(&job, first, 1), known_of_run::task_waiting);
    job.place(first, 1, worker, "10.0.0.1:1");
    EXPECT_EQ(what_is_known(&job, first, 1), known_of_run::placed_elsewhere);
    EXPECT_EQ(what_is_known(&job, first, 2), known_of_run::other_run_placed);
    (void)job.end_run(first, 1, batch::run_end::done, "");
    EXPECT_EQ(what_is_known(&job, first, 1), known_of_run::task_done);
}

TEST(unknown_run, RunsThatWereGivenUpLastAreRemembered)
{
    given_up_runs runs;
    runs.add({"j1.0.0.0", 1, "w1", run_evidence::lease_expired, {}});
    runs.add({"j1.0.0.0", 2, "w2", run_evidence::start_rejected, {}});
    ASSERT_NE(runs.find("j1.0.0.0", 2), nullptr);
    EXPECT_EQ(runs.find("j1.0.0.0", 2)->evidence, run_evidence::start_rejected);
    EXPECT_EQ(runs.find("j1.0.0.0", 3), nullptr);
    for (std::size_t number = 0; number < given_up_runs::max_runs - 1; ++number) {
        runs.add({fmt::format("j2.0.0.{}", number), 1, "w1", run_evidence::worker_left, {}});
    }
    EXPECT_EQ(runs.find("j1.0.0.0", 1), nullptr);
    EXPECT_NE(runs.find("j1.0.0.0", 2), nullptr);
}

} // namespace
} // namespace poplarstile::control
