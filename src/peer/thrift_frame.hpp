#pragma once

#include "base/result.hpp"
#include "peer/peer_codec.hpp"

#include <fmt/format.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <memory>
#include <string>
#include <string_view>

/// Whole Thrift structs as bounded byte strings. Costly to include: for codecs only.
namespace poplarstile::peer
{

/// Thrift's compact encoding from a buffer, with a bound on the elements of all lists together.
/// Thrift itself bounds each list alone, so that lists of lists take many times their length.
class bounded_protocol
    : public apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>
{
public:
    using buffer_ptr = std::shared_ptr<apache::thrift::transport::TMemoryBuffer>;

    bounded_protocol(const buffer_ptr& buffer, const codec_limits& limits, std::size_t bytes)
        : TCompactProtocolT{buffer, static_cast<std::int32_t>(bytes),
                            // Every element takes at least one byte.
                            static_cast<std::int32_t>(std::min(limits.max_list, bytes))},
          elements_left_{limits.max_elements}
    {
    }

    std::uint32_t readListBegin_virt(apache::thrift::protocol::TType& type,
                                     std::uint32_t& size) override
    {
        const auto read = readListBegin(type, size);
        if (size > elements_left_) {
            throw apache::thrift::protocol::TProtocolException{
                apache::thrift::protocol::TProtocolException::SIZE_LIMIT};
        }
        elements_left_ -= size;
        return read;
    }

private:
    std::size_t elements_left_;
};

/// Error: `peer_message_invalid`.
template <class Wire>
[[nodiscard]] base::result<std::string> write_frame(const Wire& wire, const codec_limits& limits)
{
    using apache::thrift::transport::TMemoryBuffer;
    const auto invalid = [](std::string detail) {
        return base::error{base::error_code::peer_message_invalid, "peer message",
                           std::move(detail), ""};
    };
    try {
        const auto buffer = std::make_shared<TMemoryBuffer>();
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol{buffer};
        wire.write(&protocol);
        auto bytes = buffer->getBufferAsString();
        if (bytes.size() > limits.max_bytes) {
            return invalid(
                fmt::format("{} bytes, at most {} are sent", bytes.size(), limits.max_bytes));
        }
        return bytes;
    } catch (const std::exception& failure) {
        return invalid(failure.what());
    }
}

/// Error: `peer_message_invalid`, also when bytes follow the struct.
template <class Wire>
[[nodiscard]] base::result<Wire> read_frame(std::string_view bytes, const codec_limits& limits)
{
    using apache::thrift::transport::TMemoryBuffer;
    const auto invalid = [](std::string detail) {
        return base::error{base::error_code::peer_message_invalid, "peer message",
                           std::move(detail), ""};
    };
    if (bytes.size() > limits.max_bytes) {
        return invalid(
            fmt::format("{} bytes, at most {} are accepted", bytes.size(), limits.max_bytes));
    }
    try {
        // Thrift reads through a pointer to mutable bytes but does not change them when it
        // observes. NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast)
        auto* data = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(bytes.data()));
        const auto buffer = std::make_shared<TMemoryBuffer>(
            data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        bounded_protocol protocol{buffer, limits, bytes.size()};
        Wire wire;
        wire.read(&protocol);
        if (buffer->available_read() != 0) {
            return invalid("bytes follow the message");
        }
        return wire;
    } catch (const std::exception& failure) {
        return invalid(failure.what());
    }
}

} // namespace poplarstile::peer
