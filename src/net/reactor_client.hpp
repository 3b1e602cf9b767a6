#pragma once

#include "base/result.hpp"
#include "net/http_client.hpp"
#include "net/traffic_account.hpp"

#include <asio/io_context.hpp>

#include <functional>
#include <memory>

namespace poplarstile::net
{

struct reactor_client_options {
    /// Open connections kept for reuse over all targets: a few to each of several hundred workers.
    long max_idle_connections = 1'536;
    long max_connections_per_target = 16;
    /// Unacknowledged bytes close a connection after this time; silent peers are found by it.
    base::milliseconds user_timeout{2'500};
    /// Idle time before keep-alive probes, and the interval between them, in whole seconds.
    int keep_alive_idle_s = 1;
    int keep_alive_interval_s = 1;
    int keep_alive_probes = 2;
};

/// An HTTP/1.1 client (libcurl multi) whose sockets and timers run on the caller's Asio context.
/// Everything happens on the thread that runs the context: `send` is called there, handlers are
/// called there, after `send` has returned. Calls to a target that has as many as it may have
/// connections wait here and not in the library, the urgent ones at the front.
class reactor_client
{
public:
    using reply_handler = std::function<void(http_reply)>;

    /// Error: `listen_failed` when the library can't be prepared.
    [[nodiscard]] static base::result<std::unique_ptr<reactor_client>>
    create(asio::io_context& context, const reactor_client_options& options);

    /// Drops what is under way without calling its handlers.
    ~reactor_client();
    reactor_client(const reactor_client&) = delete;
    reactor_client& operator=(const reactor_client&) = delete;

    /// Starts a call; `on_reply` is called once.
    void send(http_call call, reply_handler on_reply);

    /// Connections opened since the start.
    [[nodiscard]] std::size_t connections_opened() const;

    /// Finished calls since the start.
    [[nodiscard]] const traffic_account& account() const;

private:
    struct implementation;
    explicit reactor_client(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::net
