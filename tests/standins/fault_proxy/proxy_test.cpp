#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "standins/fault_proxy/proxy.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <future>

namespace poplarstile::standins::fault_proxy
{
namespace
{

class proxied_link : public testing::Test
{
protected:
    void SetUp() override
    {
        auto handler = [this](const net::http_request&, const net::http_responder& responder) {
            ++handled;
            responder.send({.body = "{}"});
        };
        target = net::http_server::start({}, handler).value();
        const auto address = fmt::format("127.0.0.1:{}", target->port());
        url = fmt::format("http://{}/", address);
        controlled = proxy::start("127.0.0.1",
                                  {.sources = {{"vm-a1", 0}}, .targets = {{"worker", {address}}}})
                         .value();
        const auto port = controlled->port_of("vm-a1");
        client = net::http_client::start({.proxy = fmt::format("127.0.0.1:{}", port)}).value();
    }

    net::http_reply call()
    {
        return client->send_and_wait(
            {.method = "POST", .url = url, .body = "x", .timeout = base::milliseconds{300}});
    }

    void set_fault(fault_kind kind, base::milliseconds delay = {}, std::string source = "vm-a1")
    {
        std::promise<void> done;
        controlled->set_fault({{std::move(source), "worker"}, {kind, delay}},
                              [&done] { done.set_value(); });
        done.get_future().wait();
    }

    void heal()
    {
        std::promise<void> done;
        controlled->heal([&done] { done.set_value(); });
        done.get_future().wait();
    }

    std::atomic<int> handled{0};
    std::string url;
    std::unique_ptr<net::http_server> target;
    std::unique_ptr<proxy> controlled;
    std::unique_ptr<net::http_client> client;
};

TEST_F(proxied_link, cut_stops_open_and_new_connections_until_healed)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::cut);

    EXPECT_FALSE(call().ok());
    EXPECT_EQ(call().outcome, net::delivery::not_sent) << "a refused tunnel carries no request";
    EXPECT_EQ(handled, 1);
    heal();

    EXPECT_TRUE(call().ok());
}

TEST_F(proxied_link, refuse_closes_the_port_until_healed)
{
    const auto address = fmt::format("127.0.0.1:{}", target->port());
    auto forwarding = proxy::start("127.0.0.1", {.forwards = {{"vm-a1", 0, address}},
                                                 .targets = {{"worker", {address}}}})
                          .value();
    const auto direct = net::http_client::start({}).value();
    const auto call_forward = [&] {
        return direct->send_and_wait(
            {.method = "POST",
             .url = fmt::format("http://127.0.0.1:{}/", forwarding->port_of("vm-a1")),
             .body = "x",
             .timeout = base::milliseconds{300}});
    };
    const auto wait_for = [](const auto& change) {
        std::promise<void> done;
        change([&done] { done.set_value(); });
        done.get_future().wait();
    };
    ASSERT_TRUE(call_forward().ok());

    wait_for([&](auto done) {
        forwarding->set_fault({{"vm-a1", "worker"}, {fault_kind::refuse, {}}}, done);
    });
    EXPECT_FALSE(call_forward().ok()) << "the open connection is reset";
    EXPECT_TRUE(call_forward().connection_refused);
    EXPECT_EQ(handled, 1);
    wait_for([&](auto done) { forwarding->heal(done); });

    EXPECT_TRUE(call_forward().ok());
}

TEST_F(proxied_link, silence_open_spares_new_connections)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::silence_open);

    const auto on_silent = call();
    const auto on_new = call();

    EXPECT_EQ(on_silent.outcome, net::delivery::lost);
    EXPECT_TRUE(on_new.ok()) << on_new.failure;
    EXPECT_EQ(handled, 2) << "the request on the silent connection must not arrive";
}

TEST_F(proxied_link, drop_answers_delivers_the_request_alone)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::drop_answers);

    const auto reply = call();

    EXPECT_EQ(reply.outcome, net::delivery::lost);
    EXPECT_EQ(handled, 2);
}

TEST_F(proxied_link, drop_requests_delivers_nothing)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::drop_requests);

    EXPECT_EQ(call().outcome, net::delivery::lost);
    EXPECT_EQ(handled, 1);
}

TEST_F(proxied_link, freeze_holds_bytes_and_delivers_them_when_healed)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::freeze);

    std::promise<net::http_reply> answered;
    client->send({.method = "POST", .url = url, .body = "x", .timeout = base::milliseconds{5'000}},
                 [&answered](net::http_reply reply) { answered.set_value(std::move(reply)); });
    auto reply = answered.get_future();
    EXPECT_EQ(reply.wait_for(base::milliseconds{200}), std::future_status::timeout);
    heal();

    EXPECT_TRUE(reply.get().ok());
}

TEST_F(proxied_link, blackhole_hangs_new_connections)
{
    set_fault(fault_kind::blackhole);

    EXPECT_EQ(call().outcome, net::delivery::not_sent);
    EXPECT_EQ(handled, 0);
}

TEST_F(proxied_link, delay_is_added_both_ways)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::delay, base::milliseconds{40});

    const auto reply = call();

    EXPECT_TRUE(reply.ok());
    EXPECT_GE(reply.elapsed, base::milliseconds{80});
}

TEST_F(proxied_link, half_close_ends_the_answers_alone)
{
    ASSERT_TRUE(call().ok());
    set_fault(fault_kind::half_close);

    EXPECT_FALSE(call().ok());
}

TEST_F(proxied_link, later_rule_wins_over_an_earlier_one)
{
    set_fault(fault_kind::cut, {}, "*");
    EXPECT_FALSE(call().ok());

    set_fault(fault_kind::none);

    EXPECT_TRUE(call().ok());
}

} // namespace
} // namespace poplarstile::standins::fault_proxy
