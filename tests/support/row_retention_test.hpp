#pragma once

#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

namespace poplarstile::tests
{

inline constexpr batch::resources worker_capacity{32'000, 65'536, 8};
inline constexpr batch::resources small_task{2'000, 4'000, 1};
/// The leader may keep the row of an ended job for this long after its time is over.
inline constexpr std::chrono::seconds removal_bound{20};

/// A site with one worker, for tests of how long rows of jobs are stored.
class row_retention_test : public testing::Test
{
protected:
    explicit row_retention_test(base::milliseconds task_duration)
    {
        site.workers.add("w1", "r1-1", worker_capacity);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [task_duration](const std::string& /*task*/) {
            return task_duration;
        };
    }

    /// The leader loses power; another VM takes over, and the first starts anew.
    void replace_leader()
    {
        auto* const leader = site.leading_vm();
        ASSERT_NE(leader, nullptr);
        const auto name = leader->name;
        site.stop(name);
        ASSERT_NE(site.await_leader(), nullptr);
        site.start(name);
    }

    void wait_for_removal()
    {
        site.time.run_for(site.leading.status_retention + removal_bound);
    }

    site_fixture site;
};

} // namespace poplarstile::tests
