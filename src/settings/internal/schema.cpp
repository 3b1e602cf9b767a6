#include "settings/internal/schema.hpp"

#include <array>

namespace poplarstile::settings::internal
{
namespace
{

constexpr double least_port = 1;
constexpr double greatest_port = 65'535;
constexpr double longest_name = 64;
constexpr double shortest_key = 16;
constexpr double longest_key = 256;
constexpr double one_minute_ms = 60'000;
constexpr double one_hour_ms = 3'600'000;
constexpr auto required = presence::required;
constexpr auto optional = presence::optional;

constexpr auto name = text_format::name;
constexpr auto endpoint = text_format::endpoint;

// One row a member keeps the tables readable.
// clang-format off
constexpr auto vm_members = std::to_array<member<vm_identity>>({
    {"id", &vm_identity::id, required, 1, longest_name, "characters", name, "name of this VM, unique among all VMs"},
    {"failure_domain", &vm_identity::failure_domain, required, 1, longest_name, "characters", name, "failure domain that this VM stands in"},
    {"region", &vm_identity::region, required, 1, longest_name, "characters", name, "region of the failure domain"},
});

constexpr auto listen_members = std::to_array<member<listen_settings>>({
    {"address", &listen_settings::address, optional, 1, longest_name, "", text_format::ip_number, "IP number listened on"},
    {"caller_port", &listen_settings::caller_port, required, least_port, greatest_port, "port", name, "port for callers"},
    {"peer_port", &listen_settings::peer_port, required, least_port, greatest_port, "port", name, "port for the other VMs"},
    {"operator_port", &listen_settings::operator_port, required, least_port, greatest_port, "port", name, "port for operators and metrics"},
});

constexpr auto platform_members = std::to_array<member<platform_settings>>({
    {"address", &platform_settings::address, required, 1, longest_name, "", endpoint, "address of the platform's service"},
    {"read_timeout_ms", &platform_settings::read_timeout, optional, 10, one_minute_ms, "ms", name, "longest wait for the answer to a read"},
    {"write_timeout_ms", &platform_settings::write_timeout, optional, 10, one_minute_ms, "ms", name, "longest wait for the answer to a transaction"},
});

constexpr auto worker_members = std::to_array<member<worker_entry>>({
    {"id", &worker_entry::id, required, 1, longest_name, "characters", name, "name of the worker"},
    {"address", &worker_entry::address, required, 1, longest_name, "", endpoint, "address of the worker"},
    {"rack", &worker_entry::rack, required, 1, longest_name, "characters", name, "rack that the worker stands in"},
    {"position", &worker_entry::position, required, 0, 4'095, "", name, "place in the rack; neighbours have consecutive numbers"},
    {"accelerators", &worker_entry::accelerators, optional, 1, 64, "accelerators", name, "accelerators of the worker"},
    {"slots", &worker_entry::slots, optional, 1, 1'024, "requests", name, "requests that the worker runs at once"},
});

constexpr auto peer_members = std::to_array<member<peer_entry>>({
    {"id", &peer_entry::id, required, 1, longest_name, "characters", name, "name of the other VM"},
    {"failure_domain", &peer_entry::failure_domain, required, 1, longest_name, "characters", name, "failure domain of the other VM"},
    {"region", &peer_entry::region, required, 1, longest_name, "characters", name, "region of the other VM"},
    {"address", &peer_entry::address, required, 1, longest_name, "", endpoint, "peer address of the other VM"},
});

constexpr auto limit_members = std::to_array<member<limit_settings>>({
    {"max_queued_requests", &limit_settings::max_queued_requests, optional, 1, 1'000'000, "requests", name, "requests and jobs waiting inside the VM"},
    {"max_caller_connections", &limit_settings::max_caller_connections, optional, 1, 65'536, "connections", name, "open connections of all callers"},
    {"max_connections_per_caller", &limit_settings::max_connections_per_caller, optional, 1, 65'536, "connections", name, "open connections of one caller's IP number"},
    {"max_body_bytes", &limit_settings::max_body_bytes, optional, 1'024, 16'777'216, "bytes", name, "largest body of a request and of a worker's answer"},
    {"max_header_bytes", &limit_settings::max_header_bytes, optional, 512, 1'048'576, "bytes", name, "largest sum of a request's headers"},
    {"max_json_depth", &limit_settings::max_json_depth, optional, 2, 256, "levels", name, "deepest nesting of a JSON body"},
    {"max_connections_per_worker", &limit_settings::max_connections_per_worker, optional, 1, 64, "connections", name, "open connections of this VM to one worker"},
    {"retry_budget", &limit_settings::retry_budget, optional, 0, 1, "share", name, "retries that may be added, as a share of fresh requests"},
});

constexpr auto time_members = std::to_array<member<time_settings>>({
    {"caller_read_timeout_ms", &time_settings::caller_read_timeout, optional, 100, 600'000, "ms", name, "longest time that a caller may take to send a request"},
    {"default_deadline_ms", &time_settings::default_deadline, optional, 10, one_hour_ms, "ms", name, "deadline of a request that names none"},
    {"max_deadline_ms", &time_settings::max_deadline, optional, 10, one_hour_ms, "ms", name, "longest deadline that a request may name"},
    {"worker_heartbeat_ms", &time_settings::worker_heartbeat, optional, 20, one_minute_ms, "ms", name, "interval of the worker lease renewals"},
    {"worker_lease_ms", &time_settings::worker_lease, optional, 100, 600'000, "ms", name, "time after which a worker stops tasks that nobody renews"},
    {"scheduler_renewal_ms", &time_settings::scheduler_renewal, optional, 20, one_minute_ms, "ms", name, "interval at which the holder renews the scheduler lease"},
    {"scheduler_timeout_ms", &time_settings::scheduler_timeout, optional, 100, 600'000, "ms", name, "silence of the scheduler lease after which another VM takes over"},
    {"rules_poll_ms", &time_settings::rules_poll, optional, 50, one_minute_ms, "ms", name, "interval at which the rules are read from the table"},
    {"gossip_interval_ms", &time_settings::gossip_interval, optional, 20, one_minute_ms, "ms", name, "interval of the membership protocol"},
    {"suspicion_timeout_ms", &time_settings::suspicion_timeout, optional, 100, 600'000, "ms", name, "time from suspicion of a VM to its death"},
    {"vm_list_poll_ms", &time_settings::vm_list_poll, optional, 100, one_hour_ms, "ms", name, "interval at which the platform's list of VMs is read"},
    {"drain_timeout_ms", &time_settings::drain_timeout, optional, 0, one_hour_ms, "ms", name, "longest wait for requests in flight when leaving"},
});

constexpr auto plain_members = std::to_array<member<vm_settings>>({
    {"operator_key", &vm_settings::operator_key, required, shortest_key, longest_key, "characters", text_format::secret, "key that operators' calls carry"},
    {"outbound_proxy", &vm_settings::outbound_proxy, optional, 0, longest_name, "", text_format::optional_endpoint, "HTTP CONNECT proxy of all outgoing calls; empty for none"},
    {"log_level", &vm_settings::log_level, optional, 0, longest_name, "", text_format::log_level, "least severe log line written"},
});

constexpr auto objective_members = std::to_array<member<vm_settings>>({
    {"objective", &vm_settings::policy_objective, optional, 0, 0, "", name, "measure that the scheduler weighs more"},
});
// clang-format on

} // namespace

std::span<const member<vm_identity>> members_of(const vm_identity& /*unused*/)
{
    return vm_members;
}

std::span<const member<listen_settings>> members_of(const listen_settings& /*unused*/)
{
    return listen_members;
}

std::span<const member<platform_settings>> members_of(const platform_settings& /*unused*/)
{
    return platform_members;
}

std::span<const member<worker_entry>> members_of(const worker_entry& /*unused*/)
{
    return worker_members;
}

std::span<const member<peer_entry>> members_of(const peer_entry& /*unused*/)
{
    return peer_members;
}

std::span<const member<limit_settings>> members_of(const limit_settings& /*unused*/)
{
    return limit_members;
}

std::span<const member<time_settings>> members_of(const time_settings& /*unused*/)
{
    return time_members;
}

std::span<const member<vm_settings>> members_of(const vm_settings& /*unused*/)
{
    return plain_members;
}

std::span<const member<vm_settings>> policy_members()
{
    return objective_members;
}

} // namespace poplarstile::settings::internal
