#pragma once

#include "base/result.hpp"
#include "peer/peer_message.hpp"

#include <cstddef>
#include <string>
#include <string_view>

/// Peer messages as bytes: Thrift's compact protocol, one envelope per HTTP body.
/// `idl/peer.thrift` is the wire format; fields are only ever added to it.
namespace poplarstile::peer
{

/// Version of the envelope. A receiver refuses any other.
inline constexpr int wire_version = 1;

/// What a receiver accepts. Everything past it is `peer_message_invalid`.
struct codec_limits {
    /// Of a whole message, in bytes.
    std::size_t max_bytes = std::size_t{4} * 1024 * 1024;
    /// Of each list, in elements.
    std::size_t max_list = 16384;
    /// Of all lists of a message together, those within other lists included.
    std::size_t max_elements = 2 * max_list;
};

/// The bytes of `value`; `peer_message_invalid` when it is past the limits itself.
[[nodiscard]] base::result<std::string> encode(const message& value,
                                               const codec_limits& limits = {});

/// The message in `bytes`; `peer_message_invalid` for anything that is not exactly one.
/// Allocates no more than a small multiple of `bytes`.
[[nodiscard]] base::result<message> decode(std::string_view bytes, const codec_limits& limits = {});

} // namespace poplarstile::peer
