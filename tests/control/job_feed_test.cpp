#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// The leader learns of every stored job, also when the store discards the history of its changes.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
/// The leader reads a part in pages of at most this many rows.
constexpr int page_rows = 500;

TEST(job_feed, AJobStoredBetweenThePagesOfARereadIsStarted)
{
    site_fixture site;
    site.workers.add("w1", "r1-1", worker_capacity);
    site.workers.need = [](const std::string& /*task*/) { return small_task; };
    site.start("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    const std::string id{"0000000000000001"};
    const auto& part = site.part_of(id);
    const auto ended =
        batch::encode(batch::finished_job{batch::job_status::completed, "queue", "workspace",
                                          base::store_time{milliseconds{site.time.now_ms()}}});
    for (int number = 0; number <= page_rows; ++number) {
        site.store.put({"jobs", part, fmt::format("a{:015x}", number)}, ended);
    }
    site.time.run_for(seconds{1});

    for (const auto& other : site.parts.names()) {
        if (other != part) {
            site.store.away_parts.insert(other);
        }
    }
    site.store.put({"jobs", part, fmt::format("b{:015x}", 0)}, ended);
    site.store.forget_history();
    // The first page has been read, the second has not.
    site.time.run_for(2 * site.store.latency + milliseconds{1});
    site.store.put({"jobs", part, id}, batch::encode(make_job(id, 1, small_task)));
    site.time.run_for(milliseconds{50});
    site.store.away_parts.clear();

    EXPECT_EQ(site.await_end(id, seconds{10}), batch::job_status::completed);
}

} // namespace
} // namespace poplarstile::tests
