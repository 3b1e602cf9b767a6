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
#include <string_view>
#include <thread>

/// Callers who read none of their answers: others get their connections.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;

constexpr std::size_t max_connections = 4;
/// Longer than the system keeps for a client that does not read.
constexpr std::size_t answer_bytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t send_buffer_bytes = std::size_t{16} * 1024;
constexpr int receive_buffer_bytes = 4'096;
constexpr base::milliseconds time_to_send{500};
constexpr int pipelined_calls = 8;
constexpr int attempts = 8;

class unread_answers : public testing::Test
{
protected:
    unread_answers()
    {
        http_server_options options;
        options.max_connections = max_connections;
        options.send_buffer_bytes = send_buffer_bytes;
        server = http_server::start(options, [](const http_request& request,
                                                const http_responder& responder) {
                     http_response response;
                     response.body.assign(length_for(request.path), 'a');
                     responder.send(std::move(response));
                 }).value();
    }

    static std::size_t length_for(const std::string& path)
    {
        if (path == "/long") {
            return answer_bytes;
        }
        return path == "/medium" ? 8 * send_buffer_bytes : 2;
    }

    /// A client that keeps little of its own and reads nothing.
    void take_connection(std::string_view path, int count)
    {
        auto& socket = callers.emplace_back(context);
        socket.open(tcp::v4());
        socket.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes});
        socket.connect({asio::ip::address_v4::loopback(), server->port()});
        std::string calls;
        for (int call = 0; call < count; ++call) {
            calls += fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n\r\n", path);
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
        take_connection("/long", pipelined_calls);
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

// Guards against megabytes that the system keeps for each caller who reads nothing.
TEST_F(unread_answers, AreNotKeptByTheSystem)
{
    take_connection("/medium", 1);
    std::this_thread::sleep_for(time_to_send);

    EXPECT_EQ(server->open_requests(), 1U) << "the whole answer has been handed to the system";
}

} // namespace
} // namespace poplarstile::net
