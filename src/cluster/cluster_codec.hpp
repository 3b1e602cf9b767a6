#pragma once

#include "base/result.hpp"
#include "cluster/cluster_message.hpp"

#include <string>
#include <string_view>

namespace poplarstile::cluster
{

/// Encodes a message as a versioned Thrift frame.
/// Error: `peer_message_invalid` when the frame exceeds the size limit.
[[nodiscard]] base::result<std::string> encode(const message& value);

/// Decodes a frame that `encode` made.
/// Error: `peer_message_invalid` for a frame that is malformed, too large, of another wire version,
/// or that doesn't hold exactly one message.
[[nodiscard]] base::result<message> decode(std::string_view bytes);

} // namespace poplarstile::cluster
