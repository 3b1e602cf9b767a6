#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

/// Callers that send slowly or stop half-way: they lose their connection, nobody else notices, and
/// no half of a request reaches the handler.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;
using clock = std::chrono::steady_clock;

constexpr base::milliseconds read_timeout{300};
/// The server looks for overdue connections about once a second.
constexpr base::milliseconds longest_wait{3'000};

class slow_caller : public testing::Test
{
protected:
    slow_caller()
    {
        http_server_options options;
        options.read_timeout = read_timeout;
        server = http_server::start(options, [this](const http_request& /*request*/,
                                                    const http_responder& responder) {
                     ++handled;
                     responder.send({});
                 }).value();
    }

    /// Sends the text and waits for the server to close; true when it does in time.
    bool is_closed_after(const std::string& text)
    {
        tcp::socket socket{context};
        socket.connect({asio::ip::address_v4::loopback(), server->port()});
        asio::write(socket, asio::buffer(text));
        socket.non_blocking(true);
        const auto until = clock::now() + longest_wait;
        while (clock::now() < until) {
            std::array<char, 512> buffer{};
            std::error_code failure;
            (void)socket.read_some(asio::buffer(buffer), failure);
            if (failure && failure != asio::error::would_block) {
                return true;
            }
            std::this_thread::sleep_for(base::milliseconds{10});
        }
        return false;
    }

    asio::io_context context;
    std::atomic<int> handled = 0;
    std::unique_ptr<http_server> server;
};

TEST_F(slow_caller, LosesItsConnectionInTheMiddleOfTheHeaders)
{
    EXPECT_TRUE(is_closed_after("POST /queue/1 HTTP/1.1\r\nHost: a.exa"));
    EXPECT_EQ(handled, 0);
}

TEST_F(slow_caller, LosesItsConnectionInTheMiddleOfTheBody)
{
    EXPECT_TRUE(
        is_closed_after("POST /queue/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf"));
    EXPECT_EQ(handled, 0);
}

TEST_F(slow_caller, LosesAConnectionOnWhichItSendsNothing)
{
    EXPECT_TRUE(is_closed_after(""));
}

TEST_F(slow_caller, HoldsUpNobodyElse)
{
    tcp::socket slow{context};
    slow.connect({asio::ip::address_v4::loopback(), server->port()});
    asio::write(slow, asio::buffer(std::string{"POST / HTTP/1.1\r\nHo"}));
    const auto client = http_client::start({}).value();

    const auto reply =
        client->send_and_wait({.url = fmt::format("http://127.0.0.1:{}/", server->port())});

    EXPECT_TRUE(reply.ok());
    EXPECT_LT(reply.elapsed, read_timeout);
}

} // namespace
} // namespace poplarstile::net
