#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <fmt/format.h>

#include <atomic>
#include <string>
#include <thread>
#include <utility>

namespace poplarstile::tests
{

inline const std::string served_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
inline const std::string busy_answer = "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\n{}";

/// Serves the first call of its first connection, breaks that connection once it has read the
/// second call, and gives one answer to whatever comes on other connections.
class breaking_server
{
public:
    /// `body_begin` is how the body of each call begins.
    breaking_server(const std::string& body_begin, std::string later_answer)
        : head_end_{"\r\n\r\n" + body_begin}, later_answer_{std::move(later_answer)}
    {
        address = fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
        thread_ = std::thread{[this] { serve(); }};
    }
    ~breaking_server()
    {
        ending_ = true;
        std::error_code ignored;
        asio::ip::tcp::socket waker{context_};
        waker.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    breaking_server(const breaking_server&) = delete;
    breaking_server& operator=(const breaking_server&) = delete;

    std::string address{};
    /// Calls read from the first connection.
    std::atomic<int> first_calls = 0;
    /// Calls read from other connections.
    std::atomic<int> later_calls = 0;

private:
    bool read_request(asio::ip::tcp::socket& socket) const
    {
        std::string text;
        std::error_code failure;
        asio::read_until(socket, asio::dynamic_buffer(text), head_end_, failure);
        return !failure;
    }

    void serve()
    {
        auto first = acceptor_.accept();
        if (read_request(first)) {
            ++first_calls;
            asio::write(first, asio::buffer(served_answer));
            first_calls += read_request(first) ? 1 : 0;
        }
        first.close();
        while (!ending_) {
            auto later = acceptor_.accept();
            if (!ending_ && read_request(later)) {
                ++later_calls;
                asio::write(later, asio::buffer(later_answer_));
            }
        }
    }

    std::string head_end_;
    std::string later_answer_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_{context_,
                                      asio::ip::tcp::endpoint{asio::ip::address_v4::loopback(), 0}};
    std::atomic<bool> ending_ = false;
    std::thread thread_;
};

} // namespace poplarstile::tests
