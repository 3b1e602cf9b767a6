#pragma once

#include "dispatch_duty.hpp"
#include "job_gateway.hpp"
#include "node.hpp"

#include "net/http_server.hpp"

#include <memory>

namespace poplarstile::daemon
{

/// The callers' port: checks each request whole before anything is done with it.
class caller_gateway
{
public:
    caller_gateway(node& owner, dispatch_duty& dispatch, job_gateway& jobs);

    /// Error: `listen_failed`.
    [[nodiscard]] base::result<void> start();

    /// Requests and job submissions whose answers have not been written out to the end.
    [[nodiscard]] std::size_t open_requests() const;

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
};

} // namespace poplarstile::daemon
