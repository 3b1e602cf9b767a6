#include "net/http_client.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>

/// What happens to a call whose kept connection breaks before the answer: by then the other side
/// may be another process, to which the call means something else.
namespace poplarstile::net
{
namespace
{

using asio::ip::tcp;

const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Answers the first call of the first connection, breaks that connection at its second call, and
/// answers whatever comes on other connections.
class breaking_server
{
public:
    breaking_server()
    {
        port = acceptor_.local_endpoint().port();
        thread_ = std::thread{[this] { serve(); }};
    }
    ~breaking_server()
    {
        ending_ = true;
        std::error_code ignored;
        tcp::socket waker{context_};
        waker.connect(tcp::endpoint{asio::ip::address_v4::loopback(), port}, ignored);
        thread_.join();
    }
    breaking_server(const breaking_server&) = delete;
    breaking_server& operator=(const breaking_server&) = delete;

    std::uint16_t port = 0;
    std::atomic<int> requests = 0;

private:
    bool read_request(tcp::socket& socket)
    {
        std::string text;
        std::error_code failure;
        asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\nbody", failure);
        requests += failure ? 0 : 1;
        return !failure;
    }

    void serve()
    {
        auto first = acceptor_.accept();
        if (read_request(first)) {
            asio::write(first, asio::buffer(answer));
            (void)read_request(first);
        }
        first.close();
        while (!ending_) {
            auto later = acceptor_.accept();
            if (!ending_ && read_request(later)) {
                asio::write(later, asio::buffer(answer));
            }
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_{context_, tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    std::atomic<bool> ending_ = false;
    std::thread thread_;
};

http_reply send(http_client& client, std::uint16_t port, bool once)
{
    http_call call;
    call.method = "POST";
    call.url = fmt::format("http://127.0.0.1:{}/", port);
    call.body = "body";
    call.once = once;
    return client.send_and_wait(std::move(call));
}

TEST(resend, ACallToBeSentOnceIsLostWithItsConnection)
{
    breaking_server server;
    const auto client = http_client::start({}).value();
    ASSERT_TRUE(send(*client, server.port, true).ok());

    const auto reply = send(*client, server.port, true);

    EXPECT_EQ(reply.outcome, delivery::lost);
    EXPECT_EQ(server.requests, 2);
}

TEST(resend, AnyOtherCallIsSentAgain)
{
    breaking_server server;
    const auto client = http_client::start({}).value();
    ASSERT_TRUE(send(*client, server.port, false).ok());

    const auto reply = send(*client, server.port, false);

    EXPECT_TRUE(reply.ok());
    EXPECT_EQ(server.requests, 3);
}

} // namespace
} // namespace poplarstile::net
