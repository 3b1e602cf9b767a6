#include "store/store_link.hpp"
#include "support/virtual_time.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace poplarstile::store
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class store_link_test : public testing::Test
{
protected:
    store_link_test()
    {
        link_ports ports;
        ports.time = &time.timers();
        ports.direct = [this](const link_call& call, milliseconds timeout,
                              const link_handler& handler) {
            made.push_back(call);
            const bool silent = all_silent || silent_scopes.contains(call.scope);
            const auto status = status_of_answers;
            time.after(silent ? timeout : time_of_answers, [silent, status, handler] {
                handler(silent ? link_reply{net::delivery::lost, 0, {}}
                               : link_reply{net::delivery::answered, status, "{}"});
            });
        };
        ports.through = [this](const std::string& /*helper*/, const link_call& call,
                               milliseconds /*timeout*/, const link_handler& handler) {
            relayed.push_back(call);
            time.after(milliseconds{6}, [handler] {
                handler({net::delivery::answered, 200, "{}"});
            });
        };
        ports.helpers = [this] { return helpers; };
        ports.probe = [](std::string_view part) {
            link_call probe;
            probe.kind = call_kind::read;
            probe.scope = part;
            probe.method = "GET";
            return probe;
        };
        link = std::make_unique<store_link>(std::move(ports));
    }

    /// Sends and waits for the end.
    net::delivery send(const std::string& scope, call_kind kind = call_kind::write)
    {
        link_call call;
        call.kind = kind;
        call.scope = scope;
        call.method = kind == call_kind::write ? "POST" : "GET";
        std::optional<net::delivery> outcome;
        link->send(call, [&outcome](const link_reply& reply) { outcome = reply.outcome; });
        time.run_until([&outcome] { return outcome.has_value(); }, seconds{5});
        return outcome.value_or(net::delivery::lost);
    }

    [[nodiscard]] std::size_t writes_sent() const
    {
        return static_cast<std::size_t>(
            std::ranges::count(made, std::string{"POST"}, &link_call::method));
    }

    tests::virtual_time time{};
    std::set<std::string> silent_scopes{};
    bool all_silent = false;
    std::uint16_t status_of_answers = 200;
    milliseconds time_of_answers{4};
    /// VMs that the store serves.
    std::vector<std::string> helpers{};
    std::vector<link_call> made{};
    /// Calls that went through a helper.
    std::vector<link_call> relayed{};
    std::unique_ptr<store_link> link{};
};

TEST_F(store_link_test, AWriteGoesStraightOutWhileTheStoreAnswers)
{
    EXPECT_EQ(send("a"), net::delivery::answered);
    EXPECT_EQ(made.size(), 1U);
}

TEST_F(store_link_test, AfterASilentCallElsewhereAWriteIsOnlySentOnceTheStoreAnswers)
{
    // Load pattern: the store goes silent for all. What is sent then stays in doubt for its caller;
    // what is not sent can be refused truthfully.
    EXPECT_EQ(send("a"), net::delivery::answered);
    all_silent = true;
    EXPECT_EQ(send("feeds", call_kind::read), net::delivery::lost);
    const auto before = writes_sent();

    EXPECT_EQ(send("a"), net::delivery::not_sent);

    EXPECT_EQ(writes_sent(), before);
}

TEST_F(store_link_test, APartThatAnswersTakesWritesThoughAnotherIsSilent)
{
    silent_scopes = {"b"};
    EXPECT_EQ(send("b", call_kind::read), net::delivery::lost);

    EXPECT_EQ(send("a"), net::delivery::answered);
}

TEST_F(store_link_test, AWriteThatWaitedForAnAnswerWhileTheVmWasSuspendedIsNotSent)
{
    // Its condition may hold again by now, as that of a submission whose row has been removed.
    silent_scopes = {"b"};
    EXPECT_EQ(send("b", call_kind::read), net::delivery::lost);
    time_of_answers = seconds{200};
    std::optional<net::delivery> outcome;
    link->send({call_kind::write, "a", "POST", {}, {}, {}},
               [&outcome](const link_reply& reply) { outcome = reply.outcome; });

    time.run_for(seconds{500});

    EXPECT_EQ(outcome, net::delivery::not_sent);
    EXPECT_EQ(writes_sent(), 0U);
}

TEST_F(store_link_test, AWriteThatWasTurnedAwayWhileTheVmWasSuspendedGoesThroughNoOther)
{
    helpers = {"vm2"};
    status_of_answers = 503;
    time_of_answers = seconds{200};
    std::optional<std::uint16_t> status;
    link->send({call_kind::write, "a", "POST", {}, {}, {}},
               [&status](const link_reply& reply) { status = reply.status; });

    time.run_for(seconds{201});

    EXPECT_EQ(status, 503);
    EXPECT_EQ(std::ranges::count(relayed, call_kind::write, &link_call::kind), 0);
}

TEST_F(store_link_test, TwoSilentScopesMeanThatTheStoreIsAwayAndWritesAreRefusedAtOnce)
{
    all_silent = true;
    EXPECT_EQ(send("feeds", call_kind::read), net::delivery::lost);
    EXPECT_EQ(send("configuration", call_kind::read), net::delivery::lost);
    const auto began = time.now();

    EXPECT_EQ(send("a"), net::delivery::not_sent);

    EXPECT_LE(time.now() - began, milliseconds{2});
    EXPECT_TRUE(link->away("a"));
}

TEST_F(store_link_test, OneAnswerEndsTheOutageForAllScopes)
{
    all_silent = true;
    EXPECT_EQ(send("feeds", call_kind::read), net::delivery::lost);
    EXPECT_EQ(send("configuration", call_kind::read), net::delivery::lost);
    EXPECT_EQ(send("a"), net::delivery::not_sent);

    all_silent = false;
    time.run_for(seconds{2});

    EXPECT_FALSE(link->away("a"));
    EXPECT_EQ(send("a"), net::delivery::answered);
}

TEST_F(store_link_test, AVmThatOnlyTheStoreIsSilentToGoesOnThroughAnother)
{
    // Seen in a recorded day (inc-2b68): the leader alone was cut from the store; counting it away
    // for all, though others relayed, stopped all starts for three seconds.
    helpers = {"10.0.0.2:1"};
    all_silent = true;
    EXPECT_EQ(send("feeds", call_kind::read), net::delivery::lost);
    EXPECT_EQ(send("configuration", call_kind::read), net::delivery::lost);

    time.run_for(milliseconds{100});

    EXPECT_FALSE(link->away("a"));
    const auto began = time.now();
    EXPECT_EQ(send("feeds"), net::delivery::answered);
    EXPECT_LE(time.now() - began, milliseconds{20});
}

TEST_F(store_link_test, APartThatGoesOnFailingIsAwayByItself)
{
    silent_scopes = {"b"};
    EXPECT_EQ(send("b"), net::delivery::lost);
    time.run_for(seconds{1});

    EXPECT_TRUE(link->away("b"));
    EXPECT_FALSE(link->away("a"));
    EXPECT_EQ(send("b"), net::delivery::not_sent);
}

} // namespace
} // namespace poplarstile::store
