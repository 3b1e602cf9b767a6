#pragma once

#include "node.hpp"

#include "net/http_server.hpp"
#include "peer/peer_message.hpp"

#include <functional>
#include <optional>
#include <string_view>

namespace poplarstile::daemon
{

/// Sends one message to another VM: Thrift in the body of an HTTP POST to its peer port.
class peer_link
{
public:
    /// Nothing when the other VM had nothing to say.
    using answer_handler = std::function<void(base::result<std::optional<peer::message>>)>;

    explicit peer_link(node& owner);

    /// `on_answer` is called once, on the HTTP client's thread.
    void call(std::string_view address, const peer::message& message, base::milliseconds timeout,
              answer_handler on_answer);

private:
    node& node_;
};

/// Path of the peer port.
inline constexpr std::string_view peer_path = "/peer";

/// An HTTP answer that carries a peer message.
[[nodiscard]] net::http_response peer_response(const peer::message& message);

} // namespace poplarstile::daemon
