#pragma once

#include "dispatch_duty.hpp"
#include "job_gateway.hpp"
#include "node.hpp"

#include "net/http_server.hpp"
#include "net/server_shutdown.hpp"

#include <memory>
#include <optional>

namespace poplarstile::daemon
{

/// The callers' port: checks each request whole before anything is done with it.
class caller_gateway
{
public:
    caller_gateway(node& owner, dispatch_duty& dispatch, job_gateway& jobs);

    /// Error: `listen_failed`.
    [[nodiscard]] base::result<void> start();

    /// Stops taking connections; true once no caller waits for an answer or goes on to send
    /// requests.
    [[nodiscard]] bool may_end();

    /// What the bounds of the port have closed, and the memory that its requests have.
    void record_bounds(daemon_metrics& metrics) const;

    /// Logs what callers have open when the process ends.
    void log_open() const;

private:
    void handle(const net::http_request& request, const net::http_responder& responder);
    void handle_short(const net::http_request& request, std::string_view service,
                      const net::http_responder& responder);
    void handle_job(const net::http_request& request, std::span<const std::string_view> path,
                    const net::http_responder& responder);

    node& node_;
    dispatch_duty& dispatch_;
    job_gateway& jobs_;
    std::unique_ptr<net::http_server> server_;
    std::optional<net::server_shutdown> shutdown_;
};

} // namespace poplarstile::daemon
