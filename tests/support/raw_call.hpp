#pragma once

#include "base/time.hpp"

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/address_v4.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <cstdint>
#include <string>

namespace poplarstile::tests
{

/// Sends a text from a loopback address of the caller's own and returns the first line of the
/// answer; empty when none has come in time.
inline std::string first_line_of_answer(const asio::ip::address_v4& from, std::uint16_t port,
                                        const std::string& text, base::milliseconds longest)
{
    using asio::ip::tcp;
    asio::io_context context;
    tcp::socket socket{context};
    socket.open(tcp::v4());
    socket.bind({from, 0});
    std::string answer;
    socket.async_connect(
        {asio::ip::address_v4::loopback(), port}, [&](const std::error_code& refused) {
            if (refused) {
                return;
            }
            asio::async_write(socket, asio::buffer(text),
                              [](const std::error_code& /*failure*/, std::size_t /*sent*/) {});
            asio::async_read_until(
                socket, asio::dynamic_buffer(answer), "\r\n",
                [](const std::error_code& /*failure*/, std::size_t /*length*/) {});
        });
    context.run_for(longest);
    const auto end = answer.find('\r');
    return end == std::string::npos ? std::string{} : answer.substr(0, end);
}

} // namespace poplarstile::tests
