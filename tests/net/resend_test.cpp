#include "net/http_client.hpp"
#include "support/breaking_server.hpp"

#include <gtest/gtest.h>

#include <string>

/// What happens to a call whose kept connection breaks before the answer: by then the other side
/// may be another process, to which the call means something else.
namespace poplarstile::net
{
namespace
{

http_reply send(http_client& client, const std::string& address, bool once)
{
    http_call call;
    call.method = "POST";
    call.url = "http://" + address + "/";
    call.body = "body";
    call.once = once;
    return client.send_and_wait(std::move(call));
}

TEST(resend, ACallToBeSentOnceIsLostWithItsConnection)
{
    tests::breaking_server server{"body", tests::served_answer};
    const auto client = http_client::start({}).value();
    ASSERT_TRUE(send(*client, server.address, true).ok());

    const auto reply = send(*client, server.address, true);

    EXPECT_EQ(reply.outcome, delivery::lost);
    EXPECT_FALSE(reply.resent);
    EXPECT_EQ(server.first_calls, 2);
    EXPECT_EQ(server.later_calls, 0);
}

TEST(resend, AnyOtherCallIsSentAgain)
{
    tests::breaking_server server{"body", tests::served_answer};
    const auto client = http_client::start({}).value();
    ASSERT_TRUE(send(*client, server.address, false).ok());

    const auto reply = send(*client, server.address, false);

    EXPECT_TRUE(reply.ok());
    EXPECT_TRUE(reply.resent);
    EXPECT_EQ(server.first_calls, 2);
    EXPECT_EQ(server.later_calls, 1);
}

} // namespace
} // namespace poplarstile::net
