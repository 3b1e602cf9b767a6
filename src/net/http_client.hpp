#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace poplarstile::net
{

/// One outgoing request.
struct http_call {
    std::string method = "GET";
    std::string url{};
    std::vector<http_header> headers{};
    std::string body{};
    base::milliseconds connect_timeout{500};
    /// For the whole exchange, connecting included.
    base::milliseconds timeout{2'000};
    /// Opens a connection for this call alone and closes it afterwards. A completed handshake is a
    /// proof of life that an idle connection cannot give, and the library never resends on it.
    bool fresh_connection = false;
    /// Never sent a second time by the library: on a kept connection that breaks before the answer
    /// the call is lost. Another process may serve the address by then, and the answer to the
    /// second sending says nothing about the first. For calls with a body.
    bool once = false;
    /// Goes before the calls that are not urgent when calls wait for a connection to the target
    /// (`reactor_client` alone).
    bool urgent = false;
    /// Asked on the client's thread when a call that had to wait has its turn, and right before the
    /// first byte leaves, each time that the library sends the request. False withdraws the call.
    /// Sends no calls itself; may be empty.
    std::function<bool()> may_leave{};
    /// What the bytes are for, in the client's account; a string literal.
    std::string_view purpose = "work";
    std::size_t max_response_bytes = std::size_t{4} * 1024 * 1024;
};

/// How an exchange ended on the wire.
enum class delivery {
    /// A whole response arrived.
    answered,
    /// No byte of the request left this process.
    not_sent,
    /// Some of the request may have left; what the other side did is not known.
    lost,
};

struct http_reply {
    delivery outcome = delivery::not_sent;
    std::uint16_t status = 0;
    std::vector<http_header> headers{};
    std::string body{};
    /// What the library said about a failure; empty after an answer.
    std::string failure{};
    /// The host refused the connection: no process listens at the address.
    bool connection_refused = false;
    /// `may_leave` has withdrawn the call.
    bool withdrawn = false;
    /// The library sent the body a second time, on a new connection.
    bool resent = false;
    base::microseconds elapsed{0};
    /// Bytes of the exchange on the wire, headers included, both ways.
    std::size_t wire_bytes = 0;
    /// Those of them that were sent.
    std::size_t sent_bytes = 0;

    [[nodiscard]] bool ok() const
    {
        return outcome == delivery::answered && status >= 200 && status < 300;
    }
};

struct http_client_options {
    /// Open connections kept for reuse over all targets.
    std::size_t max_idle_connections = 512;
    std::size_t max_connections_per_target = 64;
    /// `host:port` of an HTTP CONNECT proxy for every call; empty for none.
    std::string proxy{};
    /// Calls waiting to be taken up by the client's thread.
    std::size_t ring_capacity = 8192;
    /// Told of each exchange's bytes both ways, on the client's thread; may be empty.
    std::function<void(std::string_view purpose, std::size_t wire_bytes)> on_bytes{};
};

/// An HTTP/1.1 client on its own thread (libcurl multi).
/// A connection on which an exchange was given up is closed, never reused.
class http_client
{
public:
    using reply_handler = std::function<void(http_reply)>;

    [[nodiscard]] static base::result<std::unique_ptr<http_client>>
    start(const http_client_options& options);

    /// Gives up what is under way; each handler is still called once.
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a call. `on_reply` is called once, on the client's thread, and must not block; a full
    /// ring answers `not_sent` at once on the caller's thread.
    void send(http_call call, reply_handler on_reply);

    /// Sends and waits; for command-line tools and tests.
    [[nodiscard]] http_reply send_and_wait(http_call call);

private:
    struct implementation;
    explicit http_client(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::net
