#pragma once

#include "job_gateway.hpp"
#include "node.hpp"
#include "rules_gateway.hpp"

#include "net/http_server.hpp"

#include <functional>
#include <memory>

namespace poplarstile::daemon
{

/// The operators' port: status, rules, jobs, events, metrics, draining.
class operator_gateway
{
public:
    operator_gateway(node& owner, rules_gateway& rules, job_gateway& jobs,
                     std::function<void()> on_drain,
                     std::function<void(daemon_metrics&)> record_callers);

    /// Error: `listen_failed`.
    [[nodiscard]] base::result<void> start();

private:
    void handle(const net::http_request& request, const net::http_responder& responder);
    void handle_open(const net::http_request& request, const net::http_responder& responder);
    void handle_rules(const net::http_request& request, std::span<const std::string_view> path,
                      const net::http_responder& responder);
    void handle_jobs(const net::http_request& request, std::span<const std::string_view> path,
                     const net::http_responder& responder);
    [[nodiscard]] bool has_key(const net::http_request& request) const;
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] nlohmann::json events(const net::http_request& request) const;
    /// Since the table last told which version is the newest; null when it never did.
    [[nodiscard]] nlohmann::json rules_confirmed_ms_ago() const;
    void refresh_metrics() const;

    node& node_;
    rules_gateway& rules_;
    job_gateway& jobs_;
    std::function<void()> on_drain_;
    /// Records the metrics of the callers' port.
    std::function<void(daemon_metrics&)> record_callers_;
    std::unique_ptr<net::http_server> server_;
};

} // namespace poplarstile::daemon
