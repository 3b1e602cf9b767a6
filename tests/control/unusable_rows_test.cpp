#include "support/row_retention_test.hpp"

#include <functional>

/// A row that no VM can use stops neither the leader that reads it nor the next one.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr milliseconds task_duration{500};
/// Longer than a leader needs to place and finish a job of one task.
constexpr seconds job_bound{10};

class unusable_rows : public row_retention_test
{
protected:
    unusable_rows() : row_retention_test{task_duration}
    {
        for (const auto* const name : {"vm1", "vm2"}) {
            site.start(name);
        }
    }

    /// Stores a row of the jobs table that was made by another build or damaged.
    void store_row(const std::string& value)
    {
        site.store.put({"jobs", site.part_of(id), id}, value);
    }

    /// The row of a job of two steps, after a change.
    [[nodiscard]] std::string row_of(const std::function<void(batch::submission&)>& change) const
    {
        auto job = make_job(id, 1, small_task);
        job.spec.steps.push_back(job.spec.steps.front());
        change(job);
        return batch::encode(job);
    }

    /// Hands in another job and waits for its end.
    [[nodiscard]] std::optional<batch::job_status> end_of_another_job()
    {
        const auto other = fmt::format("{:016x}", 100 + ++others_);
        site.submit(make_job(other, 1, small_task));
        return site.await_end(other, job_bound);
    }

    [[nodiscard]] std::uint64_t unreadable_rows()
    {
        return site.leading_vm()->node->local_leader()->counters().unreadable_rows;
    }

    /// Reads the row while leading, then as the next leader.
    void expect_work_goes_on()
    {
        ASSERT_NE(site.await_leader(), nullptr);
        EXPECT_EQ(end_of_another_job(), batch::job_status::completed);
        EXPECT_EQ(unreadable_rows(), 1U);
        ASSERT_NO_FATAL_FAILURE(replace_leader());
        EXPECT_EQ(end_of_another_job(), batch::job_status::completed);
        EXPECT_EQ(unreadable_rows(), 1U) << "the next leader";
    }

    /// What a caller is told of the job.
    [[nodiscard]] std::optional<frontend::caller_answer> answer_of(const std::string& vm)
    {
        std::optional<frontend::caller_answer> answer;
        const frontend::caller_call call{frontend::call_kind::show,
                                         "host.example",
                                         "/queue/" + id,
                                         "key",
                                         milliseconds{1'000},
                                         {}};
        site.at(vm).frontend->handle(
            call, [&answer](const frontend::caller_answer& given) { answer = given; });
        site.time.run_for(seconds{2});
        return answer;
    }

    const std::string id{"0000000000000001"};

private:
    int others_ = 0;
};

TEST_F(unusable_rows, AStepAfterAStepThatIsMissingDoesNotStopLeaders)
{
    store_row(row_of([](auto& job) { job.spec.steps.back().after = {7}; }));

    expect_work_goes_on();
}

TEST_F(unusable_rows, AStepAfterItselfDoesNotStopLeaders)
{
    store_row(row_of([](auto& job) { job.spec.steps.back().after = {1}; }));

    expect_work_goes_on();
}

TEST_F(unusable_rows, MoreTasksThanMemoryHoldsDoNotStopLeaders)
{
    store_row(row_of([](auto& job) { job.spec.steps.back().task_count = 4'294'967'295U; }));

    expect_work_goes_on();
}

TEST_F(unusable_rows, AJobThatNeedsLessThanNothingFreesNoCapacity)
{
    store_row(row_of([](auto& job) { job.spec.steps.front().need.accelerators = -1; }));

    expect_work_goes_on();

    EXPECT_EQ(site.workers.starts().size(), 2U) << "of the other jobs only";
}

TEST_F(unusable_rows, CallersAreNotToldThatSuchAJobWaits)
{
    store_row(row_of([](auto& job) { job.spec.steps.front().need.accelerators = -1; }));
    ASSERT_NE(site.await_leader(), nullptr);

    const auto answer = answer_of("vm1");

    ASSERT_TRUE(answer);
    EXPECT_TRUE(std::holds_alternative<frontend::call_outcome_unknown>(*answer));
}

TEST_F(unusable_rows, ASecondRowOfAnotherJobDoesNotStopLeaders)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const batch::resources more_than_a_worker = worker_capacity + small_task;
    site.submit(make_job(id, 1, more_than_a_worker));
    const auto& other_part = site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    site.store.put({"jobs", other_part, id},
                   batch::encode(make_job("0000000000000002", 1, small_task)));

    expect_work_goes_on();

    EXPECT_EQ(site.workers.starts().size(), 2U) << "nobody handed in the job that the row names";
}

TEST_F(unusable_rows, ALeaseThatCannotBeReadKeepsNobodyFromLeading)
{
    for (const auto& part : site.parts.names()) {
        ASSERT_NE(site.await_leader(), nullptr);
        site.store.put(store::lease_row(part), "not a lease");
        site.time.run_for(seconds{5});

        ASSERT_NE(site.await_leader(), nullptr) << part;
        EXPECT_EQ(end_of_another_job(), batch::job_status::completed) << part;
    }
}

} // namespace
} // namespace poplarstile::tests
