#include "settings/internal/consistency.hpp"

#include <fmt/format.h>

#include <array>
#include <map>

namespace poplarstile::settings::internal
{
namespace
{

/// A lease has to outlast this many lost renewals.
constexpr int renewals_per_lease = 3;

void contradict(fault_list& faults, std::string place, std::string detail, std::string remedy)
{
    faults.push_back({base::error_code::settings_contradictory, std::move(place), std::move(detail),
                      std::move(remedy)});
}

void check_lease(const base::milliseconds lease, std::string_view lease_path,
                 const base::milliseconds renewal, std::string_view renewal_path,
                 fault_list& faults)
{
    if (lease < renewals_per_lease * renewal) {
        contradict(faults, std::string{lease_path},
                   fmt::format("{} ms is less than {} times {} ({} ms)", lease.count(),
                               renewals_per_lease, renewal_path, renewal.count()),
                   fmt::format("raise {} to at least {} or lower {}", lease_path,
                               renewals_per_lease * renewal.count(), renewal_path));
    }
}

/// Work that runs must outlive its scheduler: the next one renews before the leases run out.
void check_takeover(const time_settings& times, fault_list& faults)
{
    const bool lease_checked = times.worker_lease >= renewals_per_lease * times.worker_heartbeat;
    const auto takeover =
        times.scheduler_timeout + 2 * times.scheduler_renewal + times.worker_heartbeat;
    if (lease_checked && times.worker_lease < takeover) {
        contradict(faults, "times.scheduler_timeout_ms",
                   fmt::format("a takeover can last {} ms (scheduler_timeout, two renewals and a "
                               "worker heartbeat), longer than times.worker_lease_ms ({} ms)",
                               takeover.count(), times.worker_lease.count()),
                   "lower times.scheduler_timeout_ms or raise times.worker_lease_ms");
    }
}

void check_times(const time_settings& times, fault_list& faults)
{
    check_takeover(times, faults);
    check_lease(times.worker_lease, "times.worker_lease_ms", times.worker_heartbeat,
                "times.worker_heartbeat_ms", faults);
    check_lease(times.scheduler_timeout, "times.scheduler_timeout_ms", times.scheduler_renewal,
                "times.scheduler_renewal_ms", faults);
    check_lease(times.suspicion_timeout, "times.suspicion_timeout_ms", times.gossip_interval,
                "times.gossip_interval_ms", faults);
    if (times.default_deadline > times.max_deadline) {
        contradict(faults, "times.default_deadline_ms",
                   fmt::format("{} ms is more than times.max_deadline_ms ({} ms)",
                               times.default_deadline.count(), times.max_deadline.count()),
                   "lower times.default_deadline_ms or raise times.max_deadline_ms");
    }
}

void check_ports(const listen_settings& listen, fault_list& faults)
{
    struct named_port {
        std::string_view path;
        std::uint16_t port;
    };
    const std::array<named_port, 3> ports = {{{"listen.caller_port", listen.caller_port},
                                              {"listen.peer_port", listen.peer_port},
                                              {"listen.operator_port", listen.operator_port}}};
    for (std::size_t later = 1; later < ports.size(); ++later) {
        for (std::size_t earlier = 0; earlier < later; ++earlier) {
            // A port of 0 was not read; its own fault says so.
            if (ports.at(later).port == 0 || ports.at(later).port != ports.at(earlier).port) {
                continue;
            }
            contradict(faults, std::string{ports.at(later).path},
                       fmt::format("{} is the port of {} too", ports.at(later).port,
                                   ports.at(earlier).path),
                       "give each its own port");
        }
    }
}

/// Reports each value that an earlier entry of the list has too.
class uniqueness
{
public:
    explicit uniqueness(fault_list& faults) : faults_(&faults) {}

    void add(const std::string& value, const std::string& path)
    {
        if (value.empty()) {
            return;
        }
        const auto [earlier, is_new] = first_path_.try_emplace(value, path);
        if (!is_new) {
            contradict(*faults_, path,
                       fmt::format("\"{}\" stands at {} too", value, earlier->second),
                       "give each its own value");
        }
    }

private:
    fault_list* faults_;
    std::map<std::string, std::string, std::less<>> first_path_;
};

void check_workers(const vm_settings& settings, fault_list& faults)
{
    uniqueness ids{faults};
    uniqueness addresses{faults};
    uniqueness places{faults};
    for (std::size_t index = 0; index < settings.workers.size(); ++index) {
        const auto& worker = settings.workers.at(index);
        ids.add(worker.id, fmt::format("workers[{}].id", index));
        addresses.add(worker.address, fmt::format("workers[{}].address", index));
        if (!worker.rack.empty()) {
            places.add(fmt::format("{} position {}", worker.rack, worker.position),
                       fmt::format("workers[{}].position", index));
        }
    }
}

void check_peers(const vm_settings& settings, fault_list& faults)
{
    uniqueness ids{faults};
    uniqueness addresses{faults};
    ids.add(settings.vm.id, "vm.id");
    addresses.add(fmt::format("{}:{}", settings.listen.address, settings.listen.peer_port),
                  "listen.peer_port");
    for (std::size_t index = 0; index < settings.peers.size(); ++index) {
        const auto& peer = settings.peers.at(index);
        ids.add(peer.id, fmt::format("peers[{}].id", index));
        addresses.add(peer.address, fmt::format("peers[{}].address", index));
    }
}

void check_limits(const limit_settings& limits, fault_list& faults)
{
    if (limits.max_connections_per_caller > limits.max_caller_connections) {
        contradict(faults, "limits.max_connections_per_caller",
                   fmt::format("{} is more than limits.max_caller_connections ({})",
                               limits.max_connections_per_caller, limits.max_caller_connections),
                   "lower limits.max_connections_per_caller or raise "
                   "limits.max_caller_connections");
    }
    if (limits.max_queued_requests < limits.max_connections_per_worker) {
        contradict(faults, "limits.max_queued_requests",
                   fmt::format("{} is less than limits.max_connections_per_worker ({})",
                               limits.max_queued_requests, limits.max_connections_per_worker),
                   "raise limits.max_queued_requests or lower limits.max_connections_per_worker");
    }
}

} // namespace

void check_consistency(const vm_settings& settings, fault_list& faults)
{
    check_ports(settings.listen, faults);
    check_workers(settings, faults);
    check_peers(settings, faults);
    check_limits(settings.limits, faults);
    check_times(settings.times, faults);
}

} // namespace poplarstile::settings::internal
