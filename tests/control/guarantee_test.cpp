#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// Urgent jobs of a workspace that stay within its guarantee start at once, whatever runs.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources one_accelerator{1'000, 1'000, 1};
constexpr batch::resources whole_worker{8'000, 8'000, 8};
/// Bound of the platform on the start of guaranteed jobs.
constexpr milliseconds start_bound{2'700};
constexpr std::uint32_t urgent = 0;

class guarantee : public testing::Test
{
protected:
    guarantee()
    {
        for (int number = 0; number < 4; ++number) {
            site.workers.add(fmt::format("w{}", number), "r1", worker_capacity);
        }
        site.workers.need = [this](const std::string& task) {
            return task.starts_with(gang) ? whole_worker : one_accelerator;
        };
        site.workers.gang_size = [this](const std::string& task) {
            return task.starts_with(gang) ? 2U : 0U;
        };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{20}; };
        site.contents.workspaces = {{"covered", {"key1"}, 16}, {"uncovered", {"key2"}, 0}};
        site.start("vm1");
    }

    void submit(const std::string& id, const std::string& workspace, std::uint32_t tasks,
                const batch::resources& need)
    {
        auto job = make_job(id, tasks, need, urgent);
        job.workspace = workspace;
        job.policy.stretch = 100.0;
        job.spec.steps.front().gang = need == whole_worker;
        site.submit(job);
    }

    [[nodiscard]] std::size_t starts_of(const std::string& id) const
    {
        const auto& starts = site.workers.starts();
        return static_cast<std::size_t>(std::ranges::count_if(
            starts, [&](const carried_start& start) { return start.task.starts_with(id); }));
    }

    const std::string gang{"000000000000000a"};
    site_fixture site;
};

TEST_F(guarantee, IsKeptWhileUrgentWorkThatNoGuaranteeCoversFillsTheWorkers)
{
    ASSERT_NE(site.await_leader(), nullptr);
    submit("0000000000000001", "uncovered", 32, one_accelerator);
    site.time.run_for(seconds{2});
    ASSERT_EQ(starts_of("0000000000000001"), 32U);

    submit(gang, "covered", 2, whole_worker);
    site.time.run_for(start_bound);

    EXPECT_EQ(starts_of(gang), 2U);
}

TEST_F(guarantee, IsKeptWhileEarlierUrgentWorkWaits)
{
    ASSERT_NE(site.await_leader(), nullptr);
    submit("0000000000000001", "uncovered", 200, one_accelerator);
    site.time.run_for(seconds{2});

    submit(gang, "covered", 2, whole_worker);
    site.time.run_for(start_bound);

    EXPECT_EQ(starts_of(gang), 2U);
}

TEST_F(guarantee, OfOneWorkspaceDoesNotStopGuaranteedWorkOfAnother)
{
    site.contents.workspaces = {{"covered", {"key1"}, 16}, {"uncovered", {"key2"}, 32}};
    ASSERT_NE(site.await_leader(), nullptr);
    submit("0000000000000001", "uncovered", 32, one_accelerator);
    site.time.run_for(seconds{2});

    submit(gang, "covered", 2, whole_worker);
    site.time.run_for(start_bound);

    EXPECT_EQ(starts_of("0000000000000001"), 32U) << "none was stopped and started again";
    EXPECT_EQ(starts_of(gang), 0U);
}

} // namespace
} // namespace poplarstile::tests
