#include "batch/crash_history.hpp"
#include "batch/job.hpp"
#include "batch/job_codec.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include <utility>

namespace poplarstile::batch
{
namespace
{

constexpr crash_evidence in_company{false, true, false};
constexpr crash_evidence alone_at_start{true, true, false};
constexpr crash_evidence alone_while_working{true, false, false};
constexpr crash_evidence after_long_work{true, false, true};
/// Starts of a task whose starts all crash that the platform allows.
constexpr std::uint32_t allowed_starts = 5;

crash_history history_of(std::initializer_list<crash_evidence> crashes)
{
    crash_history history;
    std::uint32_t run = 0;
    for (const auto& evidence : crashes) {
        EXPECT_TRUE(count_crash(history, ++run, evidence));
    }
    return history;
}

submission one_step(std::uint32_t tasks, bool gang)
{
    submission accepted;
    accepted.job = "job";
    accepted.policy.max_attempts = 3;
    step_spec step;
    step.task_count = tasks;
    step.gang = gang;
    accepted.spec.steps.push_back(step);
    return accepted;
}

TEST(crash_history, OneCrashIsNoReasonForAnything)
{
    for (const auto& evidence : {in_company, alone_at_start, alone_while_working}) {
        EXPECT_FALSE(needs_isolation(history_of({evidence})));
        EXPECT_FALSE(is_to_blame(history_of({evidence})));
    }
}

TEST(crash_history, ASecondCrashIsolates)
{
    EXPECT_TRUE(needs_isolation(history_of({in_company, in_company})));
    EXPECT_FALSE(is_to_blame(history_of({alone_at_start, alone_at_start})));
}

TEST(crash_history, CrashesAloneAtTheStartAreProof)
{
    EXPECT_TRUE(is_to_blame(history_of({in_company, alone_at_start, alone_at_start})));
    EXPECT_FALSE(is_to_blame(history_of({in_company, in_company, alone_at_start})));
    EXPECT_FALSE(is_to_blame(history_of({alone_while_working, in_company, alone_while_working})));
}

TEST(crash_history, ARunCountsOnce)
{
    crash_history history;

    EXPECT_TRUE(count_crash(history, 3, alone_at_start));
    EXPECT_FALSE(count_crash(history, 3, alone_at_start));
    EXPECT_FALSE(count_crash(history, 2, alone_at_start));

    EXPECT_EQ(history.total, 1U);
}

TEST(crash_history, BeginsAnewAfterLongWork)
{
    const auto history = history_of({in_company, alone_at_start, after_long_work});

    EXPECT_EQ(history.total, 1U);
    EXPECT_FALSE(needs_isolation(history));
}

RC_GTEST_PROP(crash_history, NoTaskIsStartedOftenerThanAllowedIfEachStartCrashes,
              (const std::vector<std::pair<bool, bool>>& drawn))
{
    crash_history history;
    std::uint32_t starts = 0;
    for (const auto& [alone, at_start] : drawn) {
        if (is_to_blame(history)) {
            break;
        }
        ++starts;
        RC_ASSERT(count_crash(history, starts, {alone, at_start, false}));
        RC_ASSERT(needs_isolation(history) == (starts >= 2));
    }
    RC_ASSERT(starts <= allowed_starts);
    RC_ASSERT(is_to_blame(history) || drawn.size() < allowed_starts);
}

TEST(job_crashes, FailTheJobOfTheTaskThatIsToBlame)
{
    job subject{one_step(2, false)};
    for (std::uint32_t run = 1; run <= 3; ++run) {
        EXPECT_TRUE(subject.open());
        subject.place({0, 0, 1}, run, {"w", run});
        EXPECT_TRUE(subject.end_run({0, 0, 1}, run, run_end::lost, {}));
        EXPECT_TRUE(subject.record_crash({0, 0, 1}, run, alone_at_start));
    }

    EXPECT_EQ(subject.status(), job_status::failed);
    EXPECT_FALSE(subject.needs_isolation({0, 0, 0})) << "another task of the step";
}

/// A gang of three that has run `runs` times; `crash` is told of each run.
template <class Crash>
job gang_after(std::uint32_t runs, const Crash& crash)
{
    constexpr std::uint32_t members = 3;
    job subject{one_step(members, true)};
    for (std::uint32_t run = 1; run <= runs; ++run) {
        for (std::uint32_t member = 0; member < members; ++member) {
            subject.place({0, 0, member}, run, {fmt::format("w{}", member), run});
        }
        crash(subject, run);
        for (std::uint32_t member = 0; member < members; ++member) {
            EXPECT_TRUE(subject.end_run({0, 0, member}, run, run_end::lost, {}));
        }
    }
    return subject;
}

TEST(job_crashes, OfAGangCountOnceForEachRunAndMember)
{
    const auto subject = gang_after(1, [](job& gang, std::uint32_t run) {
        EXPECT_TRUE(gang.record_crash({0, 0, 0}, run, alone_at_start));
        EXPECT_FALSE(gang.record_crash({0, 0, 0}, run, alone_at_start));
        EXPECT_TRUE(gang.record_crash({0, 0, 2}, run, alone_at_start));
    });

    EXPECT_EQ(subject.crashes_of({0, 0, 0}).total, 1U);
    EXPECT_EQ(subject.crashes_of({0, 0, 1}).total, 0U);
    EXPECT_EQ(subject.crashes_of({0, 0, 2}).total, 1U);
    EXPECT_TRUE(subject.open());
}

// A wide gang meets the crashes of all its workers: a sound one was shown as failed.
TEST(job_crashes, UnderDifferentMembersDoNotFailTheirGang)
{
    const auto subject = gang_after(6, [](job& gang, std::uint32_t run) {
        EXPECT_TRUE(gang.record_crash({0, 0, run % 3}, run, alone_at_start));
    });

    EXPECT_EQ(subject.crashes_of({0, 0, 0}).total, 2U);
    EXPECT_TRUE(subject.open());
    EXPECT_TRUE(subject.needs_isolation({0, 0, 0}));
}

TEST(job_crashes, UnderDifferentMembersDoNotIsolateTheirGang)
{
    const auto subject = gang_after(3, [](job& gang, std::uint32_t run) {
        EXPECT_TRUE(gang.record_crash({0, 0, run % 3}, run, alone_at_start));
    });

    EXPECT_FALSE(subject.needs_isolation({0, 0, 0}));
}

TEST(job_crashes, UnderOneMemberIsolateAndFailItsGang)
{
    const auto subject = gang_after(2, [](job& gang, std::uint32_t run) {
        EXPECT_TRUE(gang.record_crash({0, 0, 1}, run, in_company));
    });
    EXPECT_TRUE(subject.needs_isolation({0, 0, 0}));

    const auto failed = gang_after(4, [](job& gang, std::uint32_t run) {
        EXPECT_TRUE(gang.record_crash({0, 0, 1}, run, in_company));
        EXPECT_EQ(gang.failed(), run == 4);
    });
    EXPECT_EQ(failed.status(), job_status::failed);
}

TEST(job_crashes, OfAMemberCountThoughAnotherMembersLaterRunIsCounted)
{
    const auto subject = gang_after(2, [](job& gang, std::uint32_t run) {
        if (run == 2) {
            EXPECT_TRUE(gang.record_crash({0, 0, 0}, 2, in_company));
            EXPECT_TRUE(gang.record_crash({0, 0, 1}, 1, in_company)) << "comes to be known late";
        }
    });

    EXPECT_EQ(subject.crashes_of({0, 0, 1}).total, 1U);
}

/// A gang of two whose record, of an earlier build, has three crashes under its runs 1 to 3.
job gang_of_earlier_build()
{
    auto record =
        decode_runs(R"({"o":[[[0,0,[[4,0,0],[4,0,1]],[3,0,3]]]],"w":[["w0",1,"a"],["w1",1,"b"]]})");
    job restored{one_step(2, true)};
    EXPECT_TRUE(restored.restore(std::move(record.value().occurrences), record.value().failed));
    return restored;
}

TEST(job_crashes, OfAnEarlierBuildsRecordDoNotFailAGangWithoutTwoUnderOneMember)
{
    auto subject = gang_of_earlier_build();
    EXPECT_TRUE(subject.needs_isolation({0, 0, 0}));

    EXPECT_FALSE(subject.record_crash({0, 0, 0}, 3, in_company)) << "counted by that build";
    EXPECT_TRUE(subject.record_crash({0, 0, 0}, 4, in_company));
    EXPECT_TRUE(subject.record_crash({0, 0, 1}, 4, in_company));

    EXPECT_TRUE(subject.open());
}

TEST(job_crashes, OfAnEarlierBuildsRecordCountOnceTwoAreUnderOneMember)
{
    auto subject = gang_of_earlier_build();
    EXPECT_TRUE(subject.record_crash({0, 0, 0}, 4, in_company));
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 4, run_end::lost, {}));
    subject.place({0, 0, 0}, 5, {"w0", 2});

    EXPECT_TRUE(subject.record_crash({0, 0, 0}, 5, in_company));

    EXPECT_EQ(subject.status(), job_status::failed) << "five starts, each of which crashed";
}

TEST(job_crashes, DoNotCountForRunsThatWereNeverPlacedOrForTasksThatAreDone)
{
    job subject{one_step(2, false)};
    subject.place({0, 0, 0}, 1, {"w", 1});
    EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::done, {}));

    EXPECT_FALSE(subject.record_crash({0, 0, 0}, 1, alone_at_start));
    EXPECT_FALSE(subject.record_crash({0, 0, 1}, 1, alone_at_start));
}

TEST(job_crashes, SurviveARoundTrip)
{
    for (const bool of_gang : {false, true}) {
        job subject{one_step(2, of_gang)};
        subject.place({0, 0, 0}, 1, {"w", 1});
        subject.place({0, 0, 1}, 1, {"w", 1});
        EXPECT_TRUE(subject.end_run({0, 0, 0}, 1, run_end::lost, {}));
        EXPECT_TRUE(subject.record_crash({0, 0, 0}, 1, alone_at_start));

        auto record = decode_runs(encode_runs(subject));

        ASSERT_TRUE(record.has_value());
        job restored{subject.accepted()};
        ASSERT_TRUE(restored.restore(std::move(record.value().occurrences), record.value().failed));
        EXPECT_EQ(restored.occurrences(), subject.occurrences());
        EXPECT_EQ(restored.crashes_of({0, 0, 0}).total, 1U);
    }
}

TEST(job_crashes, AreAbsentInRecordsOfTheBuildBefore)
{
    const auto record =
        decode_runs(R"({"o":[[[1,4,[[2,1,0,"saved"],[3,0,-1],1,0]]]],"w":[["w1",7]]})");

    ASSERT_TRUE(record.has_value());
    const auto& step = record.value().occurrences.front().steps.front();
    EXPECT_EQ(step.earlier_gang_crashes, crash_history{});
    EXPECT_EQ(step.tasks.at(0).crashes, crash_history{});
    EXPECT_EQ(step.tasks.at(0).checkpoint, "saved");
}

TEST(placed_worker, KeepsItsAddressInTheRecord)
{
    job subject{one_step(2, false)};
    subject.place({0, 0, 0}, 1, {"w", 9}, "10.0.0.1:80");
    subject.place({0, 0, 1}, 1, {"v", 8});

    const auto record = decode_runs(encode_runs(subject));

    const auto& tasks = record.value().occurrences.front().steps.front().tasks;
    EXPECT_EQ(tasks.at(0).address, "10.0.0.1:80");
    EXPECT_EQ(tasks.at(1).address, "") << "as in records of the build before";
}

// A leader of the build before reads the members that it knows by their positions.
TEST(job_crashes, StandBehindTheMembersThatTheBuildBeforeReads)
{
    job subject{one_step(1, false)};
    subject.place({0, 0, 0}, 4, {"w", 9});
    EXPECT_TRUE(subject.record_crash({0, 0, 0}, 4, in_company));

    const auto document = nlohmann::json::parse(encode_runs(subject));

    const auto& task = document.at("o").at(0).at(0).at(2).at(0);
    EXPECT_EQ(task.at(0), 4);
    EXPECT_EQ(task.at(1), 0);
    EXPECT_EQ(task.at(2), 0);
    EXPECT_EQ(task.at(3), "") << "a text, as the checkpoint is";
    EXPECT_EQ(task.at(4), nlohmann::json::parse("[1,0,4]"));
}

} // namespace
} // namespace poplarstile::batch
