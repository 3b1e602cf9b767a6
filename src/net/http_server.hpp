#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "net/http_message.hpp"
#include "net/request_ledger.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace asio
{
class io_context;
}

namespace poplarstile::net
{

/// Limits of one listening port; a request outside them is refused before the handler sees it.
struct http_server_options {
    /// IP number, not a host name.
    std::string address = "127.0.0.1";
    /// 0 takes any free port; see `http_server::port`.
    std::uint16_t port = 0;
    std::size_t threads = 1;
    /// Serves on the thread that runs this context instead of on threads of its own.
    asio::io_context* context = nullptr;
    /// When more are open, one that is quiet is closed.
    std::size_t max_connections = 4096;
    /// Connections of one IP number; requests on later ones are marked as over the limit.
    std::size_t max_connections_per_address = 4096;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// Memory of all requests that are received or handled at the same time. When it is used up,
    /// connections whose request has made no progress for longest are closed.
    std::size_t max_request_memory = std::size_t{64} * 1024 * 1024;
    /// How long a request may be incomplete without anything more of it arriving.
    base::milliseconds stall_timeout{5'000};
    /// The system's buffer for what a connection has received and the server has not read; 0 leaves
    /// the size to the system.
    std::size_t receive_buffer_bytes = 0;
    /// The system's buffer for answers that a client has not read; 0 leaves the size to the system,
    /// which may keep megabytes for each connection.
    std::size_t send_buffer_bytes = 0;
    /// Called on a server thread, at most once a second, after the bounds have closed connections.
    std::function<void(const request_bounds_counters&)> on_closed{};
    std::size_t max_header_bytes = std::size_t{8} * 1024;
    std::size_t max_header_count = 64;
    /// Time for a whole request to arrive, counted from its first byte or from the connection.
    base::milliseconds read_timeout{10'000};
    /// Time that a handler may take to answer.
    base::milliseconds handle_timeout{120'000};
};

/// Answers one request, once, from any thread. Copies share the one answer; later ones are ignored.
class http_responder
{
public:
    using send_function = std::function<void(http_response)>;

    explicit http_responder(send_function send);

    void send(http_response response) const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Called on a server thread with each whole request; must not block.
using http_handler = std::function<void(http_request, http_responder)>;

/// An HTTP/1.1 server on its own threads (RESTinio).
class http_server
{
public:
    /// Listens and serves until destruction. Error: `listen_failed`.
    [[nodiscard]] static base::result<std::unique_ptr<http_server>>
    start(const http_server_options& options, http_handler handler);

    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port listened on.
    [[nodiscard]] std::uint16_t port() const;

    /// Takes no new connections. Open ones are served until their next answer, which closes them.
    /// Takes effect on a thread of the server, soon after the call.
    void stop_accepting();

    /// True until `stop_accepting` has taken effect.
    [[nodiscard]] bool accepting() const;

    /// Requests taken whose responses have not been written out to the end.
    [[nodiscard]] std::size_t open_requests() const;

    /// Connections that are open, with or without a request.
    [[nodiscard]] std::size_t open_connections() const;

    /// Changes the longest body; `http_server_options::max_body_bytes` stays the upper bound.
    void set_max_body_bytes(std::size_t limit);

    /// Connections closed by the bounds of this port, and the memory that requests have now.
    [[nodiscard]] request_bounds_counters bounds_counters() const;

    /// Time since the newest request was taken, or since the server started.
    [[nodiscard]] base::milliseconds since_newest_request() const;

private:
    struct implementation;
    explicit http_server(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::net
