#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <string>

/// Starts that a silent worker does not answer leave the others to be used.
namespace poplarstile::tests
{
namespace
{

using std::chrono::seconds;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr batch::resources small_task{400, 500, 0};
/// More than the starts that may be under way while the link is not known (64).
constexpr std::uint32_t tasks_on_one_worker = 80;

TEST(starts_to_silent_worker, DoNotKeepWorkFromOtherWorkers)
{
    site_fixture site;
    site.workers.need = [](const std::string& /*task*/) { return small_task; };
    site.workers.add("w1", "r1-1", whole);
    site.start("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(seconds{1});
    site.workers.at("w1").answers = false;
    site.submit(make_job("0000000000000001", tasks_on_one_worker, small_task));
    site.time.run_for(seconds{1});
    ASSERT_TRUE(site.workers.starts().empty());
    site.workers.add("w2", "r1-2", whole);
    site.time.run_for(seconds{2});

    site.submit(make_job("0000000000000002", 1, small_task));

    EXPECT_TRUE(site.time.run_until([&] { return !site.workers.starts().empty(); }, seconds{3}));
}

} // namespace
} // namespace poplarstile::tests
