#include "net/reactor_client.hpp"
#include "platform/store_client.hpp"
#include "platform/wire.hpp"
#include "support/breaking_server.hpp"

#include <gtest/gtest.h>

#include <chrono>

/// A write that the store carried out, whose kept connection broke before the answer, while the
/// store turns away what comes on new connections.
namespace poplarstile::platform
{
namespace
{

net::http_reply send(net::reactor_client& client, asio::io_context& context, net::http_call call)
{
    net::http_reply got;
    client.send(std::move(call), [&got, &context](net::http_reply reply) {
        got = std::move(reply);
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds{5});
    return got;
}

// The client was told that the job never runs, and it ran.
TEST(store_resend, AWriteThatMayHaveBeenCarriedOutIsNotReportedAsRefused)
{
    tests::breaking_server store{"{", tests::busy_answer};
    asio::io_context context;
    const auto client = net::reactor_client::create(context, {}).value();
    const store::link_call write{store::call_kind::write, "part", "POST",
                                 wire::commit_path,       "{}",   {}};
    const auto exchange = make_store_exchange(store.address, write, std::chrono::seconds{1});
    ASSERT_TRUE(send(*client, context, exchange).ok());

    const auto reply = send(*client, context, exchange);

    EXPECT_EQ(reply.outcome, net::delivery::lost);
    EXPECT_EQ(store.first_calls, 2);
    EXPECT_EQ(store.later_calls, 0);
}

TEST(store_resend, AReadMayBeSentAgain)
{
    const store::link_call read{store::call_kind::read, "part", "GET", wire::read_path, {}, {}};

    EXPECT_FALSE(make_store_exchange("127.0.0.1:1", read, std::chrono::seconds{1}).once);
}

} // namespace
} // namespace poplarstile::platform
