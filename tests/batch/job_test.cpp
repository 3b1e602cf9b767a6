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
    submission result;
    result.job = "0000000000000001";
    result.workspace = "shop";
    result.policy.queue = "renders";
    result.policy.service = "service";
    result.policy.max_attempts = 2;
    result.policy.stretch = 3.0;
    result.policy.completion_target = milliseconds{1'000};
    result.spec.payload = "text";
    result.spec.steps = std::move(steps);
    result.accepted_ms = 42;
    return result;
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
    job subject{with_steps({tasks(1), tasks(1, {0})})};
    EXPECT_TRUE(subject.step_ready(0, 0));
    EXPECT_FALSE(subject.step_ready(0, 1));

    subject.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::done, {}));

    EXPECT_TRUE(subject.step_ready(0, 1));
    EXPECT_FALSE(subject.step_ready(0, 0)) << "all its tasks are done";
}

TEST(job, RunNumbersIncrease)
{
    job subject{with_steps({tasks(1)})};
    EXPECT_EQ(subject.next_run({0, 0, 0}), 1U);

    subject.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::lost, {}));

    EXPECT_EQ(subject.next_run({0, 0, 0}), 2U);
}

TEST(job, OnlyFailuresCountAsAttempts)
{
    job subject{with_steps({tasks(1)})};
    std::uint32_t run = 0;
    for (const auto how :
         {run_end::stopped, run_end::lease_expired, run_end::lost, run_end::failed}) {
        subject.place({0, 0, 0}, ++run, worker);
        EXPECT_TRUE(subject.end_run({0, 0, 0}, run, how, {}));
        EXPECT_TRUE(subject.open());
    }

    subject.place({0, 0, 0}, ++run, worker);
    EXPECT_TRUE(subject.end_run({0, 0, 0}, run, run_end::failed, {}));

    EXPECT_TRUE(subject.failed());
    EXPECT_EQ(subject.status(), job_status::failed);
}

TEST(job, FailuresOfOneRunOfAGangCountOnce)
{
    job subject{with_steps({gang(2)})};
    subject.place({0, 0, 0}, 1, worker);
    subject.place({0, 0, 1}, 1, worker);

    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::failed, {}));
    EXPECT_TRUE(subject.end_run({0, 0, 1}, 1, run_end::failed, {}));

    EXPECT_TRUE(subject.open());
}

TEST(job, OneDoneMemberCompletesItsGang)
{
    job subject{with_steps({gang(3)})};
    for (std::uint32_t index = 0; index < 3; ++index) {
        subject.place({0, 0, index}, 1, worker);
    }

    EXPECT_TRUE(subject.end_run({0, 0, 1}, 1, run_end::done, {}));

    EXPECT_TRUE(subject.all_done());
    EXPECT_FALSE(subject.end_run({0, 0, 0}, 1, run_end::gang_aborted, {}))
        << "the task is already done";
    EXPECT_EQ(subject.status(), job_status::completed);
}

TEST(job, TheEndOfAnotherRunChangesNothing)
{
    job subject{with_steps({tasks(1)})};
    subject.place({0, 0, 0}, 2, worker);

    EXPECT_FALSE(subject.end_run({0, 0, 0}, 1, run_end::done, {}));

    EXPECT_EQ(subject.placed_tasks(), 1U);
}

TEST(job, TheEndOfARunThatWasGivenUpCounts)
{
    job subject{with_steps({tasks(2)})};
    subject.place({0, 0, 0}, 1, worker);
    EXPECT_FALSE(subject.finish_earlier_run({0, 0, 0}, 1)) << "it is in progress";
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::lost, {}));
    subject.place({0, 0, 0}, 2, worker);

    EXPECT_TRUE(subject.finish_earlier_run({0, 0, 0}, 1));

    EXPECT_EQ(subject.placed_tasks(), 0U);
    EXPECT_FALSE(subject.end_run({0, 0, 0}, 2, run_end::lost, {})) << "the task is done";
    EXPECT_FALSE(subject.finish_earlier_run({0, 0, 0}, 1)) << "it counts once";
    EXPECT_FALSE(subject.finish_earlier_run({0, 0, 1}, 1)) << "never placed";
}

TEST(job, TheEndOfAnEarlierRunOfAGangCompletesIt)
{
    job subject{with_steps({gang(2)})};
    for (const std::uint32_t member : {0U, 1U}) {
        subject.place({0, 0, member}, 1, worker);
        EXPECT_TRUE(subject.end_run({0, 0, member}, 1, run_end::lost, {}));
    }

    EXPECT_TRUE(subject.finish_earlier_run({0, 0, 0}, 1));

    EXPECT_TRUE(subject.all_done());
}

TEST(job, ACheckpointIsKeptForTheNextRun)
{
    job subject{with_steps({tasks(1)})};
    subject.place({0, 0, 0}, 1, worker);
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::stopped, "saved"));

    EXPECT_EQ(subject.task({0, 0, 0}).checkpoint, "saved");
}

TEST(job, ACancelledJobIsOverOnceNothingRuns)
{
    job subject{with_steps({tasks(1)})};
    subject.place({0, 0, 0}, 1, worker);
    subject.cancel();
    EXPECT_FALSE(subject.over());

    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::stopped, {}));

    EXPECT_TRUE(subject.over());
    EXPECT_EQ(subject.status(), job_status::cancelled);
}

TEST(job, ChainLengthsFollowTheDependenciesOfSteps)
{
    const job subject{with_steps({tasks(1), tasks(1, {0}), tasks(1), tasks(1, {1, 2})})};

    EXPECT_EQ(subject.longest_chain(), milliseconds{1'500});
    EXPECT_EQ(subject.objective(), milliseconds{5'500})
        << "three times the longest chain, plus one second";
    EXPECT_EQ(subject.chain_from(0), milliseconds{1'500});
    EXPECT_EQ(subject.chain_from(2), milliseconds{1'000});
    EXPECT_EQ(subject.chain_from(3), milliseconds{500});
}

TEST(job, OccurrencesAreDueAtTheInterval)
{
    auto accepted = with_steps({tasks(1)});
    accepted.spec.repeat = recurrence{3, 1'000, 250};
    const job subject{accepted};

    EXPECT_EQ(subject.occurrences().size(), 3U);
    EXPECT_EQ(subject.due_ms(2), 1'500);
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
    const base::store_time ended_at{base::milliseconds{99}};
    const auto row =
        decode_job_row(encode(finished_job{job_status::cancelled, "renders", "shop", ended_at}));

    ASSERT_TRUE(row.has_value());
    const auto& read = std::get<finished_job>(row.value());
    EXPECT_EQ(read.status, job_status::cancelled);
    EXPECT_EQ(read.ended_at, ended_at);
    EXPECT_FALSE(read.ended_at_sending);
}

TEST(job_codec, TheMarkOfATimeOfSendingSurvivesARoundTrip)
{
    const base::store_time sent_at{base::milliseconds{99}};
    const auto row = decode_job_row(
        encode(finished_job{job_status::completed, "renders", "shop", sent_at, true}));

    ASSERT_TRUE(row.has_value());
    const auto& read = std::get<finished_job>(row.value());
    EXPECT_EQ(read.ended_at, sent_at) << "a build that does not know the mark reads the time";
    EXPECT_TRUE(read.ended_at_sending);
}

TEST(job_codec, RunsSurviveARoundTrip)
{
    job subject{with_steps({tasks(3), gang(2)})};
    subject.place({0, 0, 0}, 4, worker);
    subject.place({0, 0, 1}, 1, worker);
    EXPECT_TRUE(subject.end_run({0, 0, 1}, 1, run_end::failed, "save"));

    auto record = decode_runs(encode_runs(subject));

    ASSERT_TRUE(record.has_value());
    job restored{subject.accepted()};
    ASSERT_TRUE(restored.restore(std::move(record.value().occurrences), record.value().failed));
    EXPECT_EQ(restored.occurrences(), subject.occurrences());
    EXPECT_EQ(restored.placed_tasks(), 1U);
    EXPECT_EQ(restored.status(), subject.status());
}

TEST(job_codec, ARecordShowsWhetherATaskWasPlaced)
{
    job subject{with_steps({tasks(2)})};
    EXPECT_FALSE(decode_runs(encode_runs(subject)).value().any_run());

    subject.place({0, 0, 1}, 1, worker);
    EXPECT_TRUE(decode_runs(encode_runs(subject)).value().any_run());

    EXPECT_TRUE(subject.end_run({0, 0, 1}, 1, run_end::lost, {}));
    EXPECT_TRUE(decode_runs(encode_runs(subject)).value().any_run());
}

TEST(job_codec, RunsOfAnotherShapeAreRejected)
{
    const job subject{with_steps({tasks(3)})};
    auto record = decode_runs(encode_runs(subject));
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

TEST(resources, NothingFitsWhereAResourceIsExceeded)
{
    const resources need{1'000, 100, 0};
    const resources exceeded{10'000, 1'000, -4};

    EXPECT_EQ(need.fit_count(exceeded), 0);
    EXPECT_FALSE(need.fits(exceeded));
}

} // namespace
} // namespace poplarstile::batch
