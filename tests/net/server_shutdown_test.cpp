#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/server_shutdown.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <utility>

/// A server that ends leaves no request unanswered that a caller sends on an open connection.
namespace poplarstile::net
{
namespace
{

class server_shutdown_test : public testing::Test
{
protected:
    server_shutdown_test()
    {
        server = http_server::start({}, [](const http_request& /*request*/,
                                           const http_responder& responder) {
                     responder.send({});
                 }).value();
        client = http_client::start({}).value();
        ending = std::make_unique<server_shutdown>(*server);
    }

    /// Sends a request on the kept connection, if there is one.
    http_reply send()
    {
        http_call call;
        call.method = "POST";
        call.url = fmt::format("http://127.0.0.1:{}/", server->port());
        call.body = "body";
        call.once = true;
        return client->send_and_wait(std::move(call));
    }

    /// Asks until the server no longer accepts.
    void stop_accepting()
    {
        while (server->accepting()) {
            EXPECT_FALSE(ending->may_end(base::now()));
            std::this_thread::sleep_for(base::milliseconds{1});
        }
    }

    /// The time until the server may end.
    base::milliseconds wait_until_it_may_end()
    {
        const auto begun = base::now();
        while (!ending->may_end(base::now())) {
            std::this_thread::sleep_for(base::milliseconds{1});
        }
        return std::chrono::duration_cast<base::milliseconds>(base::now() - begun);
    }

    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> client;
    std::unique_ptr<server_shutdown> ending;
};

TEST_F(server_shutdown_test, ARequestOnAnOpenConnectionIsAnswered)
{
    ASSERT_EQ(send().outcome, delivery::answered);
    stop_accepting();

    EXPECT_EQ(send().outcome, delivery::answered);
    // That answer closed the connection, and a new one is refused: the caller knows that nothing
    // was sent.
    EXPECT_EQ(send().outcome, delivery::not_sent);
}

TEST_F(server_shutdown_test, ItMayNotEndSoonAfterARequest)
{
    ASSERT_EQ(send().outcome, delivery::answered);
    // A second open connection, which stays open when the first one is closed.
    const auto first_caller = std::exchange(client, http_client::start({}).value());
    ASSERT_EQ(send().outcome, delivery::answered);
    stop_accepting();
    std::this_thread::sleep_for(base::milliseconds{200});

    ASSERT_EQ(send().outcome, delivery::answered);

    EXPECT_GE(wait_until_it_may_end(), base::milliseconds{250});
}

TEST_F(server_shutdown_test, ItMayEndAtOnceWhenNoConnectionIsOpen)
{
    ASSERT_EQ(send().outcome, delivery::answered);
    client.reset();
    while (server->open_connections() > 0) {
        std::this_thread::sleep_for(base::milliseconds{1});
    }
    stop_accepting();

    EXPECT_TRUE(ending->may_end(base::now()));
}

TEST_F(server_shutdown_test, ACallerThatIsSilentForGoodDoesNotHoldItUp)
{
    ASSERT_EQ(send().outcome, delivery::answered);
    stop_accepting();

    EXPECT_LE(wait_until_it_may_end(), base::milliseconds{2'000});
    EXPECT_EQ(server->open_connections(), 1U);
}

} // namespace
} // namespace poplarstile::net
