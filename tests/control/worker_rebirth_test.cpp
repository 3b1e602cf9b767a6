#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// A worker that starts anew under its id while orders to it are on their way: an order that names
/// the worker reaches the new life as well as the old one.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_room{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr const char* job = "0000000000000001";

class worker_rebirth : public testing::Test
{
protected:
    worker_rebirth()
    {
        site.workers.add("w1", "r1-1", worker_room);
        site.workers.add("w2", "r1-1", worker_room);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{3}; };
        site.start("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
    }

    site_fixture site;
};

TEST_F(worker_rebirth, ARunThatTheNewLifeTookIsNotRunElsewhereBesideIt)
{
    bool reborn = false;
    site.workers.decide = [this, &reborn](const std::string& worker, const std::string& order) {
        if (order == "start" && !reborn) {
            reborn = true;
            site.workers.restart(worker);
        }
        return fake_workers::fate::serve;
    };
    site.submit(make_job(job, 1, small_task));

    EXPECT_EQ(site.await_end(job), batch::job_status::completed);

    EXPECT_TRUE(reborn);
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(worker_rebirth, ARunThatTheOldLifeShowedGoesElsewhereAtOnce)
{
    site.submit(make_job(job, 1, small_task));
    site.time.run_for(seconds{2});
    ASSERT_EQ(site.workers.starts().size(), 1U);
    const auto worker = site.workers.starts().front().worker;

    site.workers.restart(worker);
    site.time.run_for(milliseconds{200});

    EXPECT_EQ(site.workers.starts().size(), 2U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

// Ends are numbered from 1 in each life, and a look that the old life was sent may reach the new
// one: what it acknowledges there has not been seen by anybody.
TEST_F(worker_rebirth, EndsOfTheNewLifeAreNotAcknowledgedUnseen)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{300}; };
    site.submit(make_job(job, 12, small_task));
    ASSERT_EQ(site.await_end(job), batch::job_status::completed);
    const std::string second = "0000000000000002";
    site.submit(make_job(second, 12, small_task));
    site.time.run_for(milliseconds{200});

    site.workers.restart("w1");
    site.workers.restart("w2");

    EXPECT_EQ(site.await_end(second), batch::job_status::completed);
    for (const auto& [task, times] : site.workers.done()) {
        EXPECT_EQ(times, 1) << task;
    }
}

// The news of the rebirth comes late: the new life takes a start, ends it, and is then asked with
// the old life's count of known ends. Its clock in the answer to the start gives it away.
TEST_F(worker_rebirth, AnEndBeforeTheNewsOfTheRebirthIsNotForgotten)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{30}; };
    site.submit(make_job(job, 12, small_task));
    ASSERT_EQ(site.await_end(job), batch::job_status::completed);
    site.time.run_for(milliseconds{300});
    for (const auto* const id : {"w1", "w2"}) {
        site.workers.restart_untold(id);
    }

    const std::string second = "0000000000000002";
    site.submit(make_job(second, 4, small_task));

    EXPECT_EQ(site.await_end(second), batch::job_status::completed);
    for (const auto& [task, times] : site.workers.done()) {
        EXPECT_EQ(times, 1) << task;
    }
}

} // namespace
} // namespace poplarstile::tests
