#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <set>

/// A start is answered by another process than the worker that it names.
namespace poplarstile::tests
{
namespace
{

using std::chrono::seconds;

constexpr batch::resources small_task{2'000, 4'000, 1};

TEST(misdirected_start, IsNotFollowedByRunAfterRunToTheSameAddress)
{
    site_fixture site;
    site.workers.need = [](const std::string& /*task*/) { return small_task; };
    site.start("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.workers.add("w1", "r1-1", small_task);
    site.time.run_for(seconds{1});
    std::set<std::uint32_t> runs;
    auto& orders = site.at("vm1").orders;
    orders.start = [&runs, start = orders.start](const fleet::start_order& order, auto reply) {
        runs.insert(order.run);
        start(order, reply);
    };
    site.workers.crash("w1");
    site.workers.at("w1").displaced = true;

    site.submit(make_job("0000000000000001", 1, small_task));
    site.time.run_for(seconds{2});

    EXPECT_EQ(runs.size(), 1U);
}

} // namespace
} // namespace poplarstile::tests
