#include "batch/job.hpp"
#include "batch/job_codec.hpp"

#include <gtest/gtest.h>

namespace poplarstile::batch
{
namespace
{

using std::chrono::milliseconds;

const worker_incarnation worker{"w1", 7};

submission with_steps(std::vector<step_spec> steps)
{
    submission made;
    made.job = "0000000000000001";
    made.workspace = "shop";
    made.policy.queue = "renders";
    made.policy.service = "service";
    made.policy.max_attempts = 2;
    made.policy.stretch = 3.0;
    made.policy.completion_target = milliseconds{1'000};
    made.spec.payload = "text";
    made.spec.steps = std::move(steps);
    made.accepted_ms = 42;
    return made;
}

step_spec tasks(std::uint32_t count, std::vector<std::uint32_t> after = {})
{
    step_spec step;
    step.task_count = count;
    step.estimate = milliseconds{500};
    step.need = {1'000, 2'000, 1};
    step.after = std::move(after);
    return step;
}

step_spec gang(std::uint32_t count)
{
    auto step = tasks(count);
    step.gang = true;
    return step;
}

TEST(job, AStepIsReadyWhenTheStepsBeforeItAreDone)
{
    job made{with_steps({tasks(1), tasks(1, {0})})};
    EXPECT_TRUE(made.step_ready(0, 0));
    EXPECT_FALSE(made.step_ready(0, 1));

    made.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(made.end_run({0, 0, 0}, 1, run_end::done, {}));

    EXPECT_TRUE(made.step_ready(0, 1));
    EXPECT_FALSE(made.step_ready(0, 0)) << "all its tasks are done";
}

TEST(job, RunNumbersIncrease)
{
    job made{with_steps({tasks(1)})};
    EXPECT_EQ(made.next_run({0, 0, 0}), 1U);

    made.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(made.end_run({0, 0, 0}, 1, run_end::lost, {}));

    EXPECT_EQ(made.next_run({0, 0, 0}), 2U);
}

TEST(job, OnlyFailuresCountAsAttempts)
{
    job made{with_steps({tasks(1)})};
    std::uint32_t run = 0;
    for (const auto how :
         {run_end::stopped, run_end::lease_expired, run_end::lost, run_end::failed}) {
        made.place({0, 0, 0}, ++run, worker);
        EXPECT_TRUE(made.end_run({0, 0, 0}, run, how, {}));
        EXPECT_TRUE(made.open());
    }

    made.place({0, 0, 0}, ++run, worker);
    EXPECT_TRUE(made.end_run({0, 0, 0}, run, run_end::failed, {}));

    EXPECT_TRUE(made.failed());
    EXPECT_EQ(made.status(), job_status::failed);
}

TEST(job, FailuresOfOneRunOfAGangCountOnce)
{
    job made{with_steps({gang(2)})};
    made.place({0, 0, 0}, 1, worker);
    made.place({0, 0, 1}, 1, worker);

    EXPECT_TRUE(made.end_run({0, 0, 0}, 1, run_end::failed, {}));
    EXPECT_TRUE(made.end_run({0, 0, 1}, 1, run_end::failed, {}));

    EXPECT_TRUE(made.open());
}

TEST(job, OneDoneMemberCompletesItsGang)
{
    job made{with_steps({gang(3)})};
    for (std::uint32_t index = 0; index < 3; ++index) {
        made.place({0, 0, index}, 1, worker);
    }

    EXPECT_TRUE(made.end_run({0, 0, 1}, 1, run_end::done, {}));

    EXPECT_TRUE(made.all_done());
    EXPECT_FALSE(made.end_run({0, 0, 0}, 1, run_end::gang_aborted, {}))
        << "the task is already done";
    EXPECT_EQ(made.status(), job_status::completed);
}

TEST(job, TheEndOfAnotherRunChangesNothing)
{
    job made{with_steps({tasks(1)})};
    made.place({0, 0, 0}, 2, worker);

    EXPECT_FALSE(made.end_run({0, 0, 0}, 1, run_end::done, {}));

    EXPECT_EQ(made.placed_tasks(), 1U);
}

TEST(job, ACheckpointIsKeptForTheNextRun)
{
    job made{with_steps({tasks(1)})};
    made.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(made.end_run({0, 0, 0}, 1, run_end::stopped, "saved"));

    EXPECT_EQ(made.task({0, 0, 0}).checkpoint, "saved");
}

TEST(job, ACancelledJobIsOverOnceNothingRuns)
{
    job made{with_steps({tasks(1)})};
    made.place({0, 0, 0}, 1, worker);
    made.cancel();
    EXPECT_FALSE(made.over());

    EXPECT_TRUE(made.end_run({0, 0, 0}, 1, run_end::stopped, {}));

    EXPECT_TRUE(made.over());
    EXPECT_EQ(made.status(), job_status::cancelled);
}

TEST(job, ChainLengthsFollowTheDependenciesOfSteps)
{
    const job made{with_steps({tasks(1), tasks(1, {0}), tasks(1), tasks(1, {1, 2})})};

    EXPECT_EQ(made.longest_chain(), milliseconds{1'500});
    EXPECT_EQ(made.objective(), milliseconds{5'500})
        << "three times the longest chain, plus one second";
    EXPECT_EQ(made.chain_from(0), milliseconds{1'500});
    EXPECT_EQ(made.chain_from(2), milliseconds{1'000});
    EXPECT_EQ(made.chain_from(3), milliseconds{500});
}

TEST(job, OccurrencesAreDueAtTheInterval)
{
    auto accepted = with_steps({tasks(1)});
    accepted.spec.repeat = recurrence{3, 1'000, 250};
    const job made{accepted};

    EXPECT_EQ(made.occurrences().size(), 3U);
    EXPECT_EQ(made.due_ms(2), 1'500);
}

TEST(job_codec, ASubmissionSurvivesARoundTrip)
{
    auto accepted = with_steps({gang(2), tasks(3, {0})});
    accepted.spec.steps.at(1).data_rack = "r1-1";
    accepted.spec.steps.at(1).checkpoints = true;
    accepted.spec.repeat = recurrence{2, 5, 6};

    const auto row = decode_job_row(encode(accepted));

    ASSERT_TRUE(row.has_value());
    const auto& read = std::get<submission>(row.value());
    EXPECT_EQ(read.workspace, accepted.workspace);
    EXPECT_EQ(read.policy.stretch, accepted.policy.stretch);
    EXPECT_EQ(read.spec.payload, "text");
    EXPECT_EQ(read.spec.steps.at(1).data_rack, "r1-1");
    EXPECT_TRUE(read.spec.steps.at(0).gang);
    EXPECT_EQ(read.spec.repeat->interval_ms, 6);
    EXPECT_EQ(read.accepted_ms, 42);
}

TEST(job_codec, AFinishedJobSurvivesARoundTrip)
{
    const auto row =
        decode_job_row(encode(finished_job{job_status::cancelled, "renders", "shop", 99}));

    ASSERT_TRUE(row.has_value());
    const auto& read = std::get<finished_job>(row.value());
    EXPECT_EQ(read.status, job_status::cancelled);
    EXPECT_EQ(read.ended_store_ms, 99);
}

TEST(job_codec, RunsSurviveARoundTrip)
{
    job made{with_steps({tasks(3), gang(2)})};
    made.place({0, 0, 0}, 4, worker);
    made.place({0, 0, 1}, 1, worker);
    EXPECT_TRUE(made.end_run({0, 0, 1}, 1, run_end::failed, "save"));

    auto record = decode_runs(encode_runs(made));

    ASSERT_TRUE(record.has_value());
    job restored{made.accepted()};
    ASSERT_TRUE(restored.restore(std::move(record.value().occurrences), record.value().failed));
    EXPECT_EQ(restored.occurrences(), made.occurrences());
    EXPECT_EQ(restored.placed_tasks(), 1U);
    EXPECT_EQ(restored.status(), made.status());
}

TEST(job_codec, RunsOfAnotherShapeAreRejected)
{
    const job made{with_steps({tasks(3)})};
    auto record = decode_runs(encode_runs(made));
    job other{with_steps({tasks(2)})};

    EXPECT_FALSE(other.restore(std::move(record.value().occurrences), false));
}

TEST(job_codec, MalformedTextsAreRejected)
{
    for (const auto* const text : {"", "{", "[]", "{}", R"({"q":1})", "\xff"}) {
        EXPECT_FALSE(decode_job_row(text).has_value()) << text;
        EXPECT_FALSE(decode_runs(text).has_value()) << text;
    }
}

TEST(task_id, SurvivesARoundTripThroughText)
{
    const task_id id{"5c0e7a21d94b36f8", 2, 0, 17};

    EXPECT_EQ(to_text(id), "5c0e7a21d94b36f8.2.0.17");
    EXPECT_EQ(parse_task_id("5c0e7a21d94b36f8.2.0.17"), id);
    for (const auto* const text : {"", "a.b.c.d", "x.1.2", "x.-1.2.3"}) {
        EXPECT_FALSE(parse_task_id(text)) << text;
    }
}

TEST(resources, FitCountIsLimitedByTheScarcestResource)
{
    const resources need{1'000, 100, 2};

    EXPECT_EQ(need.fit_count({10'000, 250, 8}), 2);
    EXPECT_EQ(need.fit_count({500, 1'000, 8}), 0);
    EXPECT_TRUE(need.fits({1'000, 100, 2}));
    EXPECT_FALSE(need.fits({1'000, 100, 1}));
}

} // namespace
} // namespace poplarstile::batch
