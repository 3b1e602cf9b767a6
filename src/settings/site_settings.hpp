#pragma once

#include "base/time.hpp"
#include "settings/vm_settings.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings of an entry VM on a platform with a row store, read from JSON and checked whole.
namespace poplarstile::settings
{

/// Addresses listened on, `IP:port`; the four are kept apart.
struct site_listen_settings {
    std::string callers;
    std::string readiness;
    std::string peers;
    std::string metrics;
    /// Where the other VMs reach `peers`, if not at that address; empty for there.
    std::string peers_advertised{};
};

struct site_store_settings {
    std::string address;
    /// Part of the tables that holds this site's rows.
    std::string part = "site";
    /// How many parts the site's jobs are spread over; the same on all VMs.
    std::uint32_t parts = 4;
    /// Longest value of a row that the store takes.
    std::uint32_t row_bytes = 65'536;
};

/// Times that the platform and its workers keep, and that callers were promised.
struct site_bound_settings {
    base::milliseconds longest_lease{6'000};
    base::milliseconds stop_time{200};
    /// Interval at which workers renew their registrations.
    base::milliseconds worker_heartbeat{1'500};
    base::milliseconds gang_wait{3'000};
    /// Within which a configuration is in force on a VM that reaches the store.
    base::milliseconds configuration_time{2'000};
    /// How much later where the store turns the VM away.
    base::milliseconds configuration_stretch{5'000};
    /// Between SIGTERM and SIGKILL.
    double grace_s = 6.0;
    /// How long the state of an ended job is kept.
    double status_retention_s = 120.0;
    /// How many times longer work takes away from its data or spread over racks.
    double remote_factor = 3.0;
    /// Within which nothing starts any more in a failure domain that the operator drains; 0 where
    /// failure domains can't be drained.
    base::milliseconds domain_drain_time{0};
    /// How often tasks that keep checkpoints save one; 0 when it is not known.
    double checkpoint_interval_s = 0.0;
};

/// What the VM that the process runs on has to give.
struct site_limit_settings {
    /// Share of one core, and how many cores' speed it is a share of.
    double processor_share = 1.0;
    std::uint32_t processors = 1;
    /// File descriptors that the process may have open.
    std::uint32_t descriptors = 4'096;
    /// Bandwidth of the VM's link, in Mbit/s; 0 when it is not known.
    double link_mbit = 0.0;
    /// Memory that the process may use, in MB; 0 when it is not known.
    std::uint32_t memory_mb = 0;
    /// Memory for requests of callers that are not answered yet, in MB; 0 derives it.
    std::uint32_t request_memory_mb = 0;
    /// Connections of callers; 0 derives them.
    std::uint32_t caller_connections = 0;
    /// How long a request may be incomplete without anything more of it arriving.
    base::milliseconds request_stall_time{5'000};
};

/// Optional decisions of the scheduler. Each is `off`, `on` or `auto`, which is on where lost work
/// is dear; see `is_enabled`.
struct site_scheduling_settings {
    /// Orders and places work by the run times and worker speeds that finished runs have shown.
    std::string learned_run_times = "off";
    /// Stops work that will not end before its draining worker leaves, and starts it elsewhere.
    std::string evict_from_leaving_workers = "off";
    /// Refuses submissions that would begin too late to be of use to their callers.
    std::string refuse_hopeless_jobs = "off";
};

struct site_settings {
    vm_identity vm;
    site_listen_settings listen;
    site_store_settings store;
    site_bound_settings bounds;
    site_limit_settings limits;
    site_scheduling_settings scheduling;
    /// Peer addresses of VMs that may exist.
    std::vector<std::string> seeds;
    std::string log_level = "info";
};

/// True when the feature is on, or is `auto` and tasks save checkpoints so rarely that work which
/// is lost or placed badly is dear.
[[nodiscard]] bool is_enabled(std::string_view mode, const site_bound_settings& bounds);

/// True when the text asks for this form of settings: its member `backend` is `row_store`.
[[nodiscard]] bool is_site_settings(std::string_view text);

/// Reads a settings text. Every fault is reported at once; `place` of each is the member's path.
[[nodiscard]] BOOST_OUTCOME_V2_NAMESPACE::checked<site_settings, settings_faults>
parse_site_settings(std::string_view text);

/// The text of a settings file; an unreadable one is one fault.
[[nodiscard]] BOOST_OUTCOME_V2_NAMESPACE::checked<std::string, settings_faults>
read_settings_file(std::string_view path);

} // namespace poplarstile::settings
