#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <list>
#include <memory>
#include <string>

/// Callers who read none of their answers: others get their connections.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;

constexpr std::size_t max_connections = 4;
/// Longer than the system keeps for a client that does not read.
constexpr std::size_t answer_bytes = std::size_t{32} * 1024 * 1024;
constexpr int pipelined_calls = 8;
constexpr int attempts = 8;

class unread_answers : public testing::Test
{
protected:
    unread_answers()
    {
        http_server_options options;
        options.max_connections = max_connections;
        server = http_server::start(options, [](const http_request& request,
                                                const http_responder& responder) {
                     http_response response;
                     response.body.assign(request.path == "/long" ? answer_bytes : 2, 'a');
                     responder.send(std::move(response));
                 }).value();
    }

    void take_connection()
    {
        auto& socket = callers.emplace_back(context);
        socket.connect({asio::ip::address_v4::loopback(), server->port()});
        std::string calls;
        for (int call = 0; call < pipelined_calls; ++call) {
            calls += "GET /long HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        std::error_code ignored;
        asio::write(socket, asio::buffer(calls), ignored);
    }

    asio::io_context context;
    std::list<tcp::socket> callers;
    std::unique_ptr<http_server> server;
};

TEST_F(unread_answers, LeaveConnectionsToOtherCallers)
{
    for (std::size_t caller = 0; caller < 2 * max_connections; ++caller) {
        take_connection();
    }
    const auto client = http_client::start({}).value();

    bool answered = false;
    for (int attempt = 0; attempt < attempts && !answered; ++attempt) {
        answered =
            client->send_and_wait({.url = fmt::format("http://127.0.0.1:{}/", server->port())})
                .ok();
    }

    EXPECT_TRUE(answered);
    EXPECT_LE(server->open_connections(), max_connections + 4);
}

} // namespace
} // namespace poplarstile::net
