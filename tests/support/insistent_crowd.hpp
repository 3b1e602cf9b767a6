#pragma once

#include "base/time.hpp"

#include <asio/buffer.hpp>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <thread>
#include <utility>

namespace poplarstile::tests
{

/// Clients on loopback connections that send a text again and again, read no answer, and connect
/// anew when the server closes. They run on a thread of their own until they are destroyed.
class insistent_crowd
{
public:
    insistent_crowd(std::uint16_t port, std::size_t clients, std::string text)
        : server_{asio::ip::address_v4::loopback(), port}, text_{std::move(text)}
    {
        for (std::size_t index = 0; index < clients; ++index) {
            connect(clients_.emplace_back(context_));
        }
        thread_ = std::thread{[this] { context_.run(); }};
    }

    ~insistent_crowd()
    {
        context_.stop();
        thread_.join();
    }
    insistent_crowd(const insistent_crowd&) = delete;
    insistent_crowd& operator=(const insistent_crowd&) = delete;

private:
    struct client {
        explicit client(asio::io_context& context) : socket{context}, pause{context} {}
        asio::ip::tcp::socket socket;
        asio::steady_timer pause;
    };

    static constexpr base::milliseconds reconnect_pause{20};
    static constexpr int receive_buffer_bytes = 4'096;

    void connect(client& each)
    {
        std::error_code ignored;
        each.socket.open(server_.protocol(), ignored);
        // What the system takes in place of the client is small, so that the server notices soon.
        each.socket.set_option(asio::socket_base::receive_buffer_size{receive_buffer_bytes},
                               ignored);
        each.socket.async_connect(server_, [this, &each](const std::error_code& failure) {
            if (failure) {
                connect_later(each);
            } else {
                send(each);
            }
        });
    }

    void send(client& each)
    {
        asio::async_write(each.socket, asio::buffer(text_),
                          [this, &each](const std::error_code& failure, std::size_t /*sent*/) {
                              if (failure) {
                                  connect_later(each);
                              } else {
                                  send(each);
                              }
                          });
    }

    void connect_later(client& each)
    {
        std::error_code ignored;
        each.socket.close(ignored);
        each.pause.expires_after(reconnect_pause);
        each.pause.async_wait([this, &each](const std::error_code& /*failure*/) { connect(each); });
    }

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_{context_.get_executor()};
    asio::ip::tcp::endpoint server_;
    std::string text_;
    /// A list, since operations under way refer to its entries.
    std::list<client> clients_;
    std::thread thread_;
};

} // namespace poplarstile::tests
