#include "support/site_fixture.hpp"
#include "support/thin_link.hpp"

#include <gtest/gtest.h>

/// A leader whose link is narrow for what it has to send: its orders wait for each other, and what
/// it sends again because of that makes them wait longer.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr std::size_t link_bytes_per_s = 250'000;
constexpr std::size_t payload_bytes = 4'000;
constexpr std::uint32_t tasks_per_job = 38;
constexpr int workers = 85;
constexpr int jobs = 12;

class thin_link_to_workers : public testing::Test
{
protected:
    thin_link_to_workers()
    {
        for (int number = 0; number < workers; ++number) {
            site.workers.add(fmt::format("w{}", number), fmt::format("r{}", number / 8),
                             worker_capacity);
        }
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{5}; };
        site.leading.link_kbit = link_bytes_per_s * 8 / 1'000;
        auto& vm = site.start("vm1");
        vm.orders = link.over(vm.orders);
    }

    void submit_backlog()
    {
        for (int number = 1; number <= jobs; ++number) {
            auto job = make_job(fmt::format("{:016x}", number), tasks_per_job, small_task);
            job.spec.payload.assign(payload_bytes, 'x');
            site.submit(job);
        }
    }

    [[nodiscard]] int completed() const
    {
        int count = 0;
        for (int number = 1; number <= jobs; ++number) {
            const auto end = site.ended_as(fmt::format("{:016x}", number));
            count += end == batch::job_status::completed ? 1 : 0;
        }
        return count;
    }

    site_fixture site;
    thin_link link{site.time, link_bytes_per_s};
};

TEST_F(thin_link_to_workers, ABacklogIsStartedWithoutSendingOrdersAgain)
{
    ASSERT_NE(site.await_leader(), nullptr);
    submit_backlog();
    constexpr std::size_t tasks = std::size_t{jobs} * tasks_per_job;

    // The orders alone take 8 s on the link.
    site.time.run_until([&] { return completed() == jobs; }, seconds{30});

    EXPECT_EQ(completed(), jobs);
    EXPECT_LE(link.starts(), tasks + tasks / 10);
    EXPECT_EQ(link.stops(), 0U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(thin_link_to_workers, RunningWorkIsNotGivenUpWhilePollsAreLate)
{
    ASSERT_NE(site.await_leader(), nullptr);
    submit_backlog();

    site.time.run_until([&] { return completed() == jobs; }, seconds{30});

    EXPECT_EQ(site.leading_vm()->node->local_leader()->counters().lost_runs, 0U);
}

} // namespace
} // namespace poplarstile::tests
