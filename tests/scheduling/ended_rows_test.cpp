#include "scheduling/scheduler.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace poplarstile::scheduling
{
namespace
{

constexpr table::row_version lease_version = 10;

/// A scheduler whose only worker is full, so that every job waits until it is cancelled.
class ended_rows_of_a_scheduler : public testing::Test
{
protected:
    ended_rows_of_a_scheduler()
    {
        std::uint64_t round = 0;
        for (const auto& action : tell(lease_gained{65'536, "lease/d", lease_version})) {
            if (const auto* const renewal = std::get_if<renew_worker>(&action)) {
                round = renewal->round;
            }
        }
        (void)tell(jobs_listed{});
        workers::lease_answer report{.result = workers::lease_answer::kind::renewed};
        report.report.leaving = true;
        (void)tell(worker_reported{"w1", round, std::move(report)});
    }

    actions tell(event happened)
    {
        return scheduler_.decide(std::move(happened), now_);
    }

    static stored_job row_of(std::size_t number)
    {
        stored_job job;
        job.spec.id = fmt::format("j{}", number);
        job.spec.workspace = "kits";
        job.spec.shape = {1, 1};
        job.version = lease_version + 1 + 2 * number;
        return job;
    }

    /// The final write that a cancel brings about.
    write_job end_of(std::size_t number)
    {
        (void)tell(job_submitted{row_of(number)});
        for (auto& action : tell(cancel_requested{row_of(number).spec.id})) {
            if (auto* const write = std::get_if<write_job>(&action)) {
                return *write;
            }
        }
        ADD_FAILURE() << "no end of job " << number;
        return {};
    }

    void submit_and_end(std::size_t number)
    {
        const auto write = end_of(number);
        (void)tell(job_written{write.job,
                               write.transaction.operation,
                               {table::commit_state::committed, row_of(number).version + 1, {}}});
    }

    [[nodiscard]] bool knows(std::size_t number) const
    {
        return scheduler_.find_job(row_of(number).spec.id).has_value();
    }

    scheduler scheduler_{{.failure_domain = "d", .run_id = "run"},
                         std::vector<worker_description>{{"w1", "127.0.0.1:1", "r1", 0, 8}}};
    base::time_point now_{base::milliseconds{10'000}};
};

TEST_F(ended_rows_of_a_scheduler, AreNotTakenForLiveOnesAfterManyEnds)
{
    const auto last = std::size_t{16'384};
    for (std::size_t number = 0; number <= last; ++number) {
        submit_and_end(number);
    }
    (void)tell(time_passed{});

    (void)tell(jobs_listed{{row_of(last)}});
    EXPECT_FALSE(knows(last)) << "a scan that read the row before the end is answered after it";
    (void)tell(job_submitted{row_of(0)});
    EXPECT_FALSE(knows(0)) << "a submission is repeated long after the end";
}

TEST_F(ended_rows_of_a_scheduler, AreNotTakenForLiveOnesWhenTheAnswerToTheLastWriteWasLost)
{
    const auto first = end_of(1);
    (void)tell(
        job_written{first.job, first.transaction.operation, {table::commit_state::unknown, 0, {}}});
    now_ += base::milliseconds{1'000};
    for (const auto& action : tell(time_passed{})) {
        if (const auto* const again = std::get_if<write_job>(&action)) {
            (void)tell(job_written{
                again->job,
                again->transaction.operation,
                {table::commit_state::conflict, 0, {{live_job_key("d", again->job), 0}}}});
        }
    }
    ASSERT_FALSE(knows(1));

    (void)tell(jobs_listed{{row_of(1)}});

    EXPECT_FALSE(knows(1)) << "a scan that read the row before the end is answered after it";
}

// Jobs that the scheduler has not heard of are never hidden by the ends of others.
TEST_F(ended_rows_of_a_scheduler, OfOthersDoNotHideAJobThatAScanFinds)
{
    for (std::size_t number = 1; number <= std::size_t{16'384} + 1; ++number) {
        submit_and_end(number);
    }

    (void)tell(jobs_listed{{row_of(0)}});

    EXPECT_TRUE(knows(0));
}

} // namespace
} // namespace poplarstile::scheduling
