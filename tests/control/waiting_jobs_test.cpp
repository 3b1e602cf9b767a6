#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/// How many jobs the VMs say to wait while the leader changes.
namespace poplarstile::tests
{
namespace
{

using std::chrono::seconds;

constexpr std::uint32_t jobs = 8;
constexpr batch::resources small_task{2'000, 4'000, 1};

TEST(waiting_jobs, AreNotMissingFromTheFirstLoadsOfANewLeader)
{
    site_fixture site;
    for (const auto* const name : {"vm1", "vm2", "vm3"}) {
        site.start(name);
    }
    ASSERT_NE(site.await_leader(), nullptr);
    for (std::uint32_t number = 1; number <= jobs; ++number) {
        // There are no workers, so all jobs wait.
        site.submit(make_job(fmt::format("{:016x}", number), 1, small_task));
    }
    site.time.run_for(seconds{3});
    const auto gone = site.leading_vm()->name;
    site.stop(gone);

    auto fewest = jobs;
    site.time.run_until(
        [&] {
            for (const auto* const name : {"vm1", "vm2", "vm3"}) {
                const auto load =
                    name == gone ? std::nullopt : site.at(name).views->load_of("queue");
                fewest = load ? std::min(fewest, load->waiting) : fewest;
            }
            return false;
        },
        seconds{10});

    EXPECT_EQ(fewest, jobs);
}

} // namespace
} // namespace poplarstile::tests
