#pragma once

#include "net/request_ledger.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace poplarstile::daemon
{

/// Metrics of one VM (prometheus-cpp), kept behind plain calls.
class daemon_metrics
{
public:
    daemon_metrics(std::string_view vm, std::string_view failure_domain);
    ~daemon_metrics();
    daemon_metrics(const daemon_metrics&) = delete;
    daemon_metrics& operator=(const daemon_metrics&) = delete;

    /// One answered request of a class, and how long it took from arrival to answer.
    void record_answer(std::string_view service, std::string_view outcome, double seconds);

    /// How long a stage of the work took.
    void record_stage(std::string_view stage, double seconds);

    /// Bytes sent and received for control: gossip, heartbeats, rules.
    void record_control_bytes(std::string_view purpose, std::size_t bytes);

    void set_gauge(std::string_view name, double value);
    /// The gauge of one cause among those with this name.
    void set_gauge_of_cause(std::string_view cause, std::string_view name, double value);
    /// The gauge of one kind among those with this name.
    void set_gauge_of_kind(std::string_view kind, std::string_view name, double value);
    void set_counter(std::string_view name, double value);
    /// The counter of one purpose among those with this name.
    void set_counter_of(std::string_view purpose, std::string_view name, double value);
    /// The counter of one cause among those with this name.
    void set_counter_of_cause(std::string_view cause, std::string_view name, double value);

    /// The counter of one kind among those with this name.
    void set_counter_of_kind(std::string_view kind, std::string_view name, double value);

    /// What the bounds of a port have closed by cause, and the memory that its requests have.
    void record_bounds(std::string_view port, const net::request_bounds_counters& counted);

    /// Text for `/metrics`.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl_;
};

} // namespace poplarstile::daemon
