#include "batch/run_rows.hpp"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace poplarstile::tests
{
namespace
{

constexpr std::size_t long_row = 65'536;
constexpr std::size_t short_row = 1'024;

batch::job make_wide_job(std::uint32_t tasks)
{
    batch::submission accepted;
    accepted.job = "00000000000000ab";
    accepted.policy.max_attempts = 3;
    batch::step_spec step;
    step.task_count = tasks;
    accepted.spec.steps.push_back(step);
    return batch::job{accepted};
}

void place_all(batch::job& job, const std::string& checkpoint = {})
{
    const auto tasks = job.accepted().spec.steps.front().task_count;
    for (std::uint32_t index = 0; index < tasks; ++index) {
        const batch::task_ref ref{0, 0, index};
        job.place(ref, 1, {"w" + std::to_string(index % 50), 1}, "10.0.0.1:80");
        job.save_checkpoint(ref, 1, checkpoint);
    }
}

std::map<std::string, std::string> as_stored(const batch::job& job, std::size_t max_row_bytes)
{
    std::map<std::string, std::string> stored;
    std::size_t number = 0;
    for (auto& row : batch::encode_run_rows(job, max_row_bytes)) {
        EXPECT_LE(row.size(), max_row_bytes);
        stored.emplace(batch::run_row_key(job.id(), number), std::move(row));
        ++number;
    }
    return stored;
}

TEST(run_rows, ARecordThatFitsIsStoredAsOneTextUnderTheJobsId)
{
    auto job = make_wide_job(3);
    place_all(job);

    const auto stored = as_stored(job, long_row);

    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored.begin()->first, job.id());
    EXPECT_EQ(stored.begin()->second, batch::encode_runs(job));
}

TEST(run_rows, EveryPartOfARecordIsReadBack)
{
    auto job = make_wide_job(6);
    job.place({0, 0, 1}, 1, {"w1", 7}, "10.0.0.1:80");
    job.end_run({0, 0, 1}, 1, batch::run_end::done, {});
    job.place({0, 0, 2}, 1, {"w1", 7}, "10.0.0.1:80");
    job.end_run({0, 0, 2}, 1, batch::run_end::failed, "quote \" slash \\ umlaut \xc3\xbc");
    job.place({0, 0, 3}, 4, {"w2", 8}, {});
    job.place({0, 0, 4}, 1, {"w1", 7}, "10.0.0.1:80");
    job.record_crash({0, 0, 4}, 1, {true, true});
    job.place({0, 0, 5}, 1, {"w1", 9}, "10.0.0.1:80");

    const auto decoded = batch::decode_runs(batch::encode_runs(job));

    ASSERT_TRUE(decoded.has_value()) << decoded.error().detail;
    auto restored = make_wide_job(6);
    ASSERT_TRUE(restored.restore(decoded.value().occurrences, decoded.value().failed));
    for (std::uint32_t index = 2; index < 6; ++index) {
        EXPECT_EQ(restored.task({0, 0, index}), job.task({0, 0, index})) << "task " << index;
    }
    EXPECT_EQ(restored.task({0, 0, 0}).phase, batch::task_phase::waiting);
    EXPECT_EQ(restored.task({0, 0, 1}).phase, batch::task_phase::done);
}

TEST(run_rows, ALongRecordIsReadBackFromItsRows)
{
    auto job = make_wide_job(1'000);
    place_all(job, "00000bb87a21d94b");
    auto stored = as_stored(job, short_row);
    ASSERT_GT(stored.size(), 11U) << "keys no longer sort as their numbers";
    stored.emplace("00000000000000aa", "another job's");
    stored.emplace("00000000000000ac+1", "another job's");

    const auto record = batch::take_record(stored, job.id());

    ASSERT_TRUE(record);
    EXPECT_EQ(*record, batch::encode_runs(job));
    EXPECT_EQ(stored.size(), 2U);
}

TEST(run_rows, ARecordWithoutItsFirstRowIsNone)
{
    auto job = make_wide_job(1'000);
    place_all(job);
    auto stored = as_stored(job, short_row);
    stored.erase(job.id());

    EXPECT_FALSE(batch::take_record(stored, job.id()));
    EXPECT_TRUE(stored.empty());
}

TEST(run_rows, ARecordThatLacksAFurtherRowCannotBeDecoded)
{
    auto job = make_wide_job(1'000);
    place_all(job);
    auto stored = as_stored(job, short_row);
    stored.erase(batch::run_row_key(job.id(), 2));

    const auto record = batch::take_record(stored, job.id());

    ASSERT_TRUE(record);
    EXPECT_FALSE(batch::decode_runs(*record).has_value());
}

TEST(run_rows, AKeyWithANumberBeyondAnyRecordIsNoRowOfOne)
{
    EXPECT_EQ(batch::run_row_number("00000000000000ab"), 0U);
    EXPECT_EQ(batch::run_row_number("00000000000000ab+7"), 7U);
    EXPECT_EQ(batch::run_row_number("00000000000000ab+99999999999"), 0U);
    EXPECT_EQ(batch::run_row_number("00000000000000ab+x"), 0U);
}

TEST(run_rows, TheFirstRowShowsWhetherATaskWasPlaced)
{
    auto job = make_wide_job(2'000);
    EXPECT_FALSE(batch::shows_a_run(batch::encode_run_rows(job, long_row).front()));
    EXPECT_FALSE(batch::shows_a_run(batch::encode_run_rows(job, short_row).front()));

    place_all(job);
    EXPECT_TRUE(batch::shows_a_run(batch::encode_run_rows(job, long_row).front()));
    EXPECT_TRUE(batch::shows_a_run(batch::encode_run_rows(job, short_row).front()));
}

TEST(run_rows, ARecordTooLongForOneTransactionIsStoredWithoutCheckpoints)
{
    auto job = make_wide_job(20'000);
    place_all(job, std::string(64, 'c'));
    auto stored = as_stored(job, long_row);

    const auto record = batch::take_record(stored, job.id());

    ASSERT_TRUE(record);
    EXPECT_LE(record->size(), batch::max_record_bytes);
    const auto decoded = batch::decode_runs(*record);
    ASSERT_TRUE(decoded.has_value());
    const auto& task = decoded.value().occurrences.front().steps.front().tasks.back();
    EXPECT_EQ(task.phase, batch::task_phase::placed);
    EXPECT_TRUE(task.checkpoint.empty());
}

} // namespace
} // namespace poplarstile::tests
