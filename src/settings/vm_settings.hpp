#pragma once

#include "base/result.hpp"
#include "base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one entry VM, read from JSON and checked whole before anything starts.
namespace poplarstile::settings
{

/// What this VM is; other parts never ask the machine.
struct vm_identity {
    std::string id;
    std::string failure_domain;
    std::string region;
};

/// Addresses listened on; the three ports are kept apart so that callers never reach operators.
struct listen_settings {
    std::string address = "127.0.0.1";
    std::uint16_t caller_port = 0;
    std::uint16_t peer_port = 0;
    std::uint16_t operator_port = 0;
};

struct worker_entry {
    std::string id;
    /// `IP:port`.
    std::string address;
    std::string rack;
    /// Place in the rack; workers next to each other have consecutive numbers.
    std::uint32_t position = 0;
    std::uint32_t accelerators = 8;
    std::uint32_t slots = 8;
};

/// Another VM, known from the start; membership learns the rest.
struct peer_entry {
    std::string id;
    std::string failure_domain;
    std::string region;
    /// Peer address, `IP:port`.
    std::string address;
};

struct platform_settings {
    std::string address;
    base::milliseconds read_timeout{1'000};
    base::milliseconds write_timeout{2'000};
};

struct limit_settings {
    /// Requests and jobs waiting inside the VM.
    std::size_t max_queued_requests = 2'000;
    std::size_t max_caller_connections = 4'096;
    std::size_t max_connections_per_caller = 1'024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    std::size_t max_header_bytes = std::size_t{8} * 1024;
    std::size_t max_json_depth = 32;
    std::size_t max_connections_per_worker = 8;
    /// Retries a VM may add, as a share of fresh requests.
    double retry_budget = 0.1;
};

struct time_settings {
    base::milliseconds caller_read_timeout{10'000};
    base::milliseconds default_deadline{10'000};
    base::milliseconds max_deadline{120'000};
    /// Interval of the scheduler's worker lease renewals.
    base::milliseconds worker_heartbeat{500};
    base::milliseconds worker_lease{3'000};
    /// Interval at which the holder renews the scheduler lease row.
    base::milliseconds scheduler_renewal{500};
    /// Silence of the lease row after which another VM takes over.
    base::milliseconds scheduler_timeout{1'500};
    base::milliseconds rules_poll{1'000};
    base::milliseconds gossip_interval{500};
    base::milliseconds suspicion_timeout{2'000};
    base::milliseconds vm_list_poll{2'000};
    /// Longest wait for requests in flight when leaving.
    base::milliseconds drain_timeout{60'000};
};

/// Which of the two measures the scheduler weighs more.
enum class objective { completion_time, fragmentation };

struct vm_settings {
    vm_identity vm;
    listen_settings listen;
    platform_settings platform;
    std::vector<worker_entry> workers;
    std::vector<peer_entry> peers;
    std::string operator_key;
    limit_settings limits;
    time_settings times;
    objective policy_objective = objective::completion_time;
    /// `IP:port` of an HTTP CONNECT proxy for all outgoing calls; empty for none.
    std::string outbound_proxy;
    std::string log_level = "info";
};

/// All faults of a settings text, in the order of the text's members.
struct settings_faults {
    std::vector<base::error> errors;
};

/// Reads a settings text. Every fault is reported at once; `place` of each is the member's path.
[[nodiscard]] BOOST_OUTCOME_V2_NAMESPACE::checked<vm_settings, settings_faults>
parse_settings(std::string_view text);

/// Reads a settings file; an unreadable one is one fault.
[[nodiscard]] BOOST_OUTCOME_V2_NAMESPACE::checked<vm_settings, settings_faults>
load_settings(std::string_view path);

} // namespace poplarstile::settings
