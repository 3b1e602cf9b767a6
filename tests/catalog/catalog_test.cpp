#include "catalog/catalog.hpp"
#include "catalog/configuration_cache.hpp"
#include "support/virtual_time.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <utility>
#include <vector>

namespace poplarstile::catalog
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

contents contents_with_two_queues()
{
    contents made;
    made.version = 4;
    for (const auto* const prefix : {"/a/", "/a/deep/"}) {
        queue added;
        added.policy.queue = prefix;
        added.host = "shop.example";
        added.prefix = prefix;
        made.queues.push_back(added);
    }
    made.workspaces.push_back({"shop", {"k1", "k2"}, 8});
    return made;
}

TEST(catalog, MatchesTheLongestPathPrefix)
{
    const catalog made{contents_with_two_queues()};

    EXPECT_EQ(made.match("shop.example", "/a/1")->prefix, "/a/");
    EXPECT_EQ(made.match("shop.example", "/a/deep/1")->prefix, "/a/deep/");
    EXPECT_EQ(made.match("shop.example:80", "/a/1")->prefix, "/a/");
    EXPECT_EQ(made.match("shop.example", "/b/1"), nullptr);
    EXPECT_EQ(made.match("other.example", "/a/1"), nullptr);
}

TEST(catalog, FindsWorkspacesByKeyAndByName)
{
    const catalog made{contents_with_two_queues()};

    EXPECT_EQ(made.workspace_of("k2")->name, "shop");
    EXPECT_EQ(made.workspace_of("k3"), nullptr);
    EXPECT_EQ(made.workspace_named("shop")->guaranteed_accelerators, 8);
}

class configuration_cache_test : public testing::Test
{
protected:
    configuration_cache_test()
    {
        source.read = [this](const std::function<void(configuration_reply)>& handler) {
            time.after(milliseconds{4}, [this, handler] { handler(reply); });
        };
        source.follow = [this](store::row_version /*after*/, milliseconds wait,
                               const std::function<void(configuration_reply)>& handler) {
            time.after(wait, [this, handler] {
                handler({reply.outcome, std::nullopt, reply.position, true});
            });
        };
        source.decode = [](std::string_view document) {
            contents made;
            made.version = document.size();
            return base::result<contents>{made};
        };
    }

    tests::virtual_time time{};
    configuration_source source{};
    configuration_reply reply{store::call_outcome::done, stored_configuration{5, "12345"}, 5};
    configuration_cache cache{source, time.timers()};
};

TEST_F(configuration_cache_test, ActivatesTheStoredConfiguration)
{
    EXPECT_EQ(cache.current(), nullptr);

    cache.start();
    time.run_for(milliseconds{100});

    ASSERT_NE(cache.current(), nullptr);
    EXPECT_EQ(cache.version(), 5U);
}

TEST_F(configuration_cache_test, IgnoresAnOlderVersion)
{
    cache.receive_from_peer({9, "123456789"}, milliseconds{0});
    cache.receive_from_peer({7, "1234567"}, milliseconds{0});

    EXPECT_EQ(cache.version(), 9U);
    EXPECT_EQ(cache.current()->version(), 9U);
}

TEST_F(configuration_cache_test, AgeIncludesThePeersOwnAge)
{
    cache.receive_from_peer({9, "123456789"}, milliseconds{700});
    time.run_for(seconds{1});

    EXPECT_EQ(cache.age(), milliseconds{1'700});
}

TEST_F(configuration_cache_test, AnOlderConfirmationDoesNotIncreaseTheAge)
{
    cache.receive_from_peer({9, "123456789"}, milliseconds{100});
    cache.receive_from_peer({9, "123456789"}, milliseconds{5'000});

    EXPECT_EQ(cache.age(), milliseconds{100});
}

TEST_F(configuration_cache_test, AgeIncreasesWhileTheStoreIsUnavailable)
{
    cache.start();
    time.run_for(milliseconds{100});
    reply.outcome = store::call_outcome::refused;

    time.run_for(seconds{10});

    EXPECT_GE(cache.age(), seconds{5});
    EXPECT_EQ(cache.version(), 5U)
        << "the cached configuration stays active while the store is unavailable";
}

TEST_F(configuration_cache_test, AChangeThatWasReadLateConfirmsNothingAfterItsRequest)
{
    // The store answers the feed at once; this VM is suspended and reads the answer 1.9 s later.
    bool asked = false;
    source.follow = [this, &asked](store::row_version /*after*/, milliseconds /*wait*/,
                                   const std::function<void(configuration_reply)>& handler) {
        if (!asked) {
            asked = true;
            time.after(milliseconds{5'000}, [handler] {
                handler({store::call_outcome::done, stored_configuration{6, "123456"}, 6});
            });
        }
    };
    cache.start();
    time.run_for(milliseconds{5'004});

    ASSERT_EQ(cache.version(), 6U);
    EXPECT_EQ(cache.age(), milliseconds{5'000});
}

/// A VM without the store whose configuration the leader's heartbeats confirm, and that can be
/// suspended: what is due meanwhile runs afterwards.
class suspended_configuration_test : public configuration_cache_test
{
protected:
    suspended_configuration_test()
    {
        timers.after = [this](milliseconds delay, std::function<void()> action) {
            time.after(delay, [this, action = std::move(action)] {
                if (suspended) {
                    held.push_back(action);
                } else {
                    action();
                }
            });
        };
        reply.outcome = store::call_outcome::refused;
        own.start();
        time.run_for(milliseconds{100});
        own.receive_from_peer({9, "123456789"}, milliseconds{100});
    }

    void suspend(milliseconds span)
    {
        suspended = true;
        time.run_for(span);
        suspended = false;
    }

    void run_held()
    {
        for (const auto& action : std::exchange(held, {})) {
            action();
        }
    }

    /// The leader's word that nothing newer was stored 100 ms before it was sent.
    void receive_heartbeat()
    {
        own.receive_from_peer(own.stored(), milliseconds{100});
    }

    bool suspended = false;
    std::vector<std::function<void()>> held{};
    base::timers timers = time.timers();
    configuration_cache own{source, timers};
};

TEST_F(suspended_configuration_test, AHeartbeatFromBeforeTheEndOfTheSuspensionConfirmsNothing)
{
    suspend(seconds{10});
    receive_heartbeat();
    EXPECT_EQ(own.age(), milliseconds{10'100}) << "read before the VM's own timers ran";

    run_held();
    time.run_for(milliseconds{200});
    receive_heartbeat();
    EXPECT_EQ(own.age(), milliseconds{10'300}) << "read after them";
}

TEST_F(suspended_configuration_test, HeartbeatsConfirmAgainSoonAfterASuspension)
{
    suspend(seconds{10});
    run_held();
    time.run_for(milliseconds{1'500});
    receive_heartbeat();

    EXPECT_EQ(own.age(), milliseconds{100});
}

} // namespace
} // namespace poplarstile::catalog
