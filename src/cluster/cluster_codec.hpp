#pragma once

#include "base/result.hpp"
#include "cluster/cluster_message.hpp"

#include <string>
#include <string_view>

namespace poplarstile::cluster
{

/// Error: `peer_message_invalid` for a message over the limit.
[[nodiscard]] base::result<std::string> encode(const message& value);

/// Error: `peer_message_invalid`.
[[nodiscard]] base::result<message> decode(std::string_view bytes);

} // namespace poplarstile::cluster
