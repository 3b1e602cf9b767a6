#pragma once

#include "control/cluster_node.hpp"
#include "frontend/api_frontend.hpp"
#include "net/request_ledger.hpp"
#include "net/traffic_account.hpp"
#include "store/store_link.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplarstile::daemon
{

/// Metrics of one VM (prometheus-cpp). Counters that parts keep themselves are read when asked for.
class site_metrics
{
public:
    site_metrics(std::string_view vm, std::string_view failure_domain);
    ~site_metrics();
    site_metrics(const site_metrics&) = delete;
    site_metrics& operator=(const site_metrics&) = delete;

    /// One answered call and how long it took.
    void record_answer(frontend::call_kind kind, const frontend::caller_answer& answer,
                       std::int64_t took_ms);

    /// A span of the leader's work.
    void record_span(control::leader_span span, base::milliseconds took);

    /// The calls that a client of this VM has made, by purpose.
    void record_traffic(const net::traffic_account& account);

    /// What the bounds of a port have closed, and the memory that its requests have.
    void record_bounds(std::string_view port, const net::request_bounds_counters& counted);

    /// Text for the metrics address.
    [[nodiscard]] std::string text(const frontend::api_frontend& frontend,
                                   const control::cluster_node& node, const store::store_link& link,
                                   const catalog::configuration_cache& configuration,
                                   base::time_point now);

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::daemon
