#include "support/row_retention_test.hpp"

#include <algorithm>

/// The store takes no row that is longer than its limit, however often it is sent.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr std::size_t longest_value = 4'096;
constexpr milliseconds refusal_time{4};

class row_limit : public row_retention_test
{
protected:
    row_limit() : row_retention_test{seconds{1}}
    {
        site.workers.need = [](const std::string& /*task*/) { return batch::resources{}; };
        site.leading.max_row_bytes = longest_value;
        for (const auto* const name : {"vm1", "vm2"}) {
            limit_rows(site.start(name));
        }
    }

    /// Answers a commit with a row that is too long as the platform does: as malformed, so that its
    /// effect counts as unknown.
    void limit_rows(site_fixture::vm& vm)
    {
        vm.rows.commit = [this, pass = vm.rows.commit](const store::transaction& sent,
                                                       const auto& handler) {
            const bool too_long = std::ranges::any_of(
                sent.puts, [](const auto& put) { return put.value.size() > longest_value; });
            if (too_long) {
                site.time.after(refusal_time, [handler] { handler({}); });
            } else {
                pass(sent, handler);
            }
        };
    }

    [[nodiscard]] std::size_t stored_rows_of(const std::string& job) const
    {
        const auto rows = site.store.all("runs");
        return static_cast<std::size_t>(std::ranges::count_if(
            rows, [&](const auto& stored) { return batch::job_of_run_row(stored.id.key) == job; }));
    }

    [[nodiscard]] std::string another_job_in(const std::string& part) const
    {
        int number = 2;
        while (site.part_of(fmt::format("{:016x}", number)) != part) {
            ++number;
        }
        return fmt::format("{:016x}", number);
    }
};

TEST_F(row_limit, AJobWhoseRecordOfRunsIsTooLongStopsNoOtherJob)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const std::string wide{"0000000000000001"};
    const auto other = another_job_in(site.part_of(wide));
    site.submit(make_job(wide, 1'000, {}));
    site.time.run_for(seconds{1});
    site.submit(make_job(other, 1, small_task));

    EXPECT_EQ(site.await_end(other, seconds{20}), batch::job_status::completed);
}

TEST_F(row_limit, AJobWhoseRecordOfRunsIsTooLongEndsAndLeavesNoRows)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const std::string wide{"0000000000000001"};
    site.submit(make_job(wide, 1'000, {}));
    ASSERT_TRUE(site.time.run_until([&] { return stored_rows_of(wide) > 1; }, seconds{10}));

    EXPECT_EQ(site.await_end(wide, seconds{60}), batch::job_status::completed);
    EXPECT_EQ(stored_rows_of(wide), 0U);
}

TEST_F(row_limit, ASuccessorRunsNoTaskOfALongRecordAgain)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const std::string wide{"0000000000000001"};
    site.submit(make_job(wide, 1'000, {}));
    ASSERT_TRUE(site.time.run_until([&] { return stored_rows_of(wide) > 1; }, seconds{10}));

    replace_leader();

    EXPECT_EQ(site.await_end(wide, seconds{60}), batch::job_status::completed);
    EXPECT_EQ(stored_rows_of(wide), 0U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

} // namespace
} // namespace poplarstile::tests
