#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// A leader that is cut off from the store and the other VMs keeps the runs of a worker that only
/// it reaches for no longer than its successor waits before it starts them elsewhere.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};

class lease_horizon : public testing::TestWithParam<int>
{
protected:
    /// Cuts the leader and the worker off from all others.
    void isolate(const std::string& leader, const std::string& worker)
    {
        for (const std::string other : {"vm1", "vm2", "vm3"}) {
            if (other != leader) {
                site.cut(leader, other);
                site.cut(worker, other);
            }
        }
        site.store.decide = [leader](const std::string& vm, bool /*is_write*/) {
            return vm == leader ? fake_store::fate::swallow : fake_store::fate::serve;
        };
    }

    site_fixture site;
};

TEST_P(lease_horizon, ARunThatOnlyTheOldLeaderReachesIsNotStartedElsewhereBesideIt)
{
    for (const auto* const worker : {"w1", "w2"}) {
        // The slowest clock that a worker may have.
        site.workers.add(worker, "r1-1", worker_capacity).clock_rate = fleet::slowest_clock_rate;
    }
    site.workers.need = [](const std::string& /*task*/) { return small_task; };
    site.workers.duration = [](const std::string& /*task*/) { return seconds{60}; };
    for (const auto* const name : {"vm1", "vm2", "vm3"}) {
        site.start(name);
    }
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    site.submit(make_job("0000000000000001", 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 1; }, seconds{2}));
    site.time.run_for(seconds{2} + milliseconds{GetParam()});

    isolate(leader->name, site.workers.starts().front().worker);
    site.time.run_for(seconds{30});

    EXPECT_EQ(site.workers.starts().size(), 2U);
    EXPECT_TRUE(site.workers.doubled().empty());
}

/// Moments of the polls, which wait for up to two seconds, and of the commits between.
INSTANTIATE_TEST_SUITE_P(moments, lease_horizon, testing::Range(0, 2'000, 125));

TEST(idle_worker, ItsClockIsReadAgainBeforeLeasesOnItAreTooShort)
{
    site_fixture site;
    site.workers.add("w1", "r1-1", worker_capacity);
    site.start("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(std::chrono::minutes{10});

    site.submit(make_job("0000000000000001", 1, small_task));
    ASSERT_EQ(site.await_end("0000000000000001"), batch::job_status::completed);

    ASSERT_EQ(site.workers.starts().size(), 1U);
    EXPECT_EQ(site.workers.starts().front().run, 1U) << "the first start came too late";
}

TEST(lease_authority, CountsFromWhenTheAnsweredCommitWasSent)
{
    site_fixture site;
    site.store.latency = milliseconds{100};
    auto& made = site.start("vm1");
    base::time_point newest_answered{};
    made.rows.commit = [&site, &newest_answered, direct = made.rows.commit](
                           store::transaction sent,
                           const std::function<void(store::commit_reply)>& handler) {
        const auto sent_at = site.time.now();
        direct(std::move(sent), [&, handler, sent_at](const store::commit_reply& reply) {
            newest_answered = std::max(newest_answered, sent_at);
            handler(reply);
        });
    };
    bool has_led = false;
    for (int step = 0; step < 3'000; ++step) {
        site.time.run_for(milliseconds{1});
        const auto* const leader = made.node->local_leader();
        has_led = has_led || leader != nullptr;
        ASSERT_TRUE(leader == nullptr || leader->confirmed_at() <= newest_answered)
            << "in the step " << step;
    }
    EXPECT_TRUE(has_led);
}

} // namespace
} // namespace poplarstile::tests
