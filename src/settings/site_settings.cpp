#include "settings/site_settings.hpp"

#include "base/json_member.hpp"
#include "settings/internal/object_reader.hpp"
#include "settings/internal/site_schema.hpp"

#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace poplarstile::settings
{
namespace
{

using internal::member;
using internal::presence;
using internal::text_format;

constexpr double longest_text = 64;
constexpr double one_minute_ms = 60'000;
constexpr double one_day_s = 86'400;
constexpr double most_parts = 16;
/// A record of runs in rows of this length fits into one transaction.
constexpr double least_row_bytes = 8'192;
constexpr double most_row_bytes = 1'048'576;
constexpr double most_remote_factor = 1'000;
constexpr double most_processors = 1'024;
constexpr double most_link_mbit = 1'000'000;
constexpr double most_memory_mb = 1'048'576;
/// From this interval between checkpoints on, a stopped or lost run costs so much that features in
/// mode `auto` are worth the processor time that they take.
constexpr double dear_checkpoint_interval_s = 2.0;
constexpr double least_descriptors = 256;
constexpr double most_descriptors = 1'048'576;
constexpr auto required = presence::required;
constexpr auto optional = presence::optional;
constexpr auto endpoint = text_format::endpoint;
constexpr auto name = text_format::name;
constexpr auto feature_mode = text_format::feature_mode;

// One row a member keeps the tables readable.
// clang-format off
constexpr auto listen_members = std::to_array<member<site_listen_settings>>({
    {"callers", &site_listen_settings::callers, required, 1, longest_text, "", endpoint, "address for callers"},
    {"readiness", &site_listen_settings::readiness, required, 1, longest_text, "", endpoint, "address that the balancer asks whether this VM takes connections"},
    {"peers", &site_listen_settings::peers, required, 1, longest_text, "", endpoint, "address for the other VMs"},
    {"metrics", &site_listen_settings::metrics, required, 1, longest_text, "", endpoint, "address of the metrics"},
    {"peers_advertised", &site_listen_settings::peers_advertised, optional, 0, longest_text, "", text_format::optional_endpoint, "address told to the other VMs where it is not `peers`"},
});

constexpr auto store_members = std::to_array<member<site_store_settings>>({
    {"address", &site_store_settings::address, required, 1, longest_text, "", endpoint, "address of the row store"},
    {"part", &site_store_settings::part, optional, 1, longest_text, "characters", name, "name of the parts of the tables that hold this site's rows"},
    {"parts", &site_store_settings::parts, optional, 1, most_parts, "parts", name, "number of these parts; the same on all VMs"},
    {"row_bytes", &site_store_settings::row_bytes, optional, least_row_bytes, most_row_bytes, "bytes", name, "longest value of a row that the store takes"},
});

constexpr auto bound_members = std::to_array<member<site_bound_settings>>({
    {"longest_lease_ms", &site_bound_settings::longest_lease, required, 100, one_minute_ms, "ms", name, "longest lease that a worker grants"},
    {"stop_ms", &site_bound_settings::stop_time, required, 0, one_minute_ms, "ms", name, "time that a stop takes at a worker"},
    {"worker_heartbeat_ms", &site_bound_settings::worker_heartbeat, required, 1, one_minute_ms, "ms", name, "interval at which workers renew their registrations"},
    {"gang_wait_ms", &site_bound_settings::gang_wait, required, 0, one_minute_ms, "ms", name, "time that a gang's member waits for the others"},
    {"configuration_ms", &site_bound_settings::configuration_time, required, 0, one_minute_ms, "ms", name, "time within which a configuration is in force"},
    {"configuration_stretch_ms", &site_bound_settings::configuration_stretch, required, 0, one_minute_ms, "ms", name, "how much later where the store turns a VM away"},
    {"grace_s", &site_bound_settings::grace_s, required, 0, one_day_s, "s", name, "time between SIGTERM and SIGKILL"},
    {"status_retention_s", &site_bound_settings::status_retention_s, required, 0, one_day_s, "s", name, "how long the state of an ended job is kept"},
    {"remote_factor", &site_bound_settings::remote_factor, required, 1, most_remote_factor, "", name, "how many times longer work takes away from its data"},
    {"domain_drain_ms", &site_bound_settings::domain_drain_time, optional, 0, one_minute_ms, "ms", name, "time within which nothing starts any more in a failure domain that the operator drains; 0 where none can be drained"},
    {"checkpoint_interval_s", &site_bound_settings::checkpoint_interval_s, optional, 0, one_day_s, "s", name, "how often tasks that keep checkpoints save one; 0 when it is not known"},
});

constexpr auto limit_members = std::to_array<member<site_limit_settings>>({
    {"processor_share", &site_limit_settings::processor_share, optional, 0, most_processors, "cores", name, "share of a core that the VM may use"},
    {"processors", &site_limit_settings::processors, optional, 1, most_processors, "cores", name, "cores whose speed the share is counted in"},
    {"descriptors", &site_limit_settings::descriptors, optional, least_descriptors, most_descriptors, "descriptors", name, "file descriptors that the process may have open"},
    {"link_mbit", &site_limit_settings::link_mbit, optional, 0, most_link_mbit, "Mbit/s", name, "bandwidth of the VM's link; 0 when it is not known"},
    {"memory_mb", &site_limit_settings::memory_mb, optional, 0, most_memory_mb, "MB", name, "memory that the process may use; 0 when it is not known, which bounds what clients hold as on a VM of 120 MB"},
    {"request_memory_mb", &site_limit_settings::request_memory_mb, optional, 0, most_memory_mb, "MB", name, "memory for requests of callers that are not answered yet; 0: an eighth of `limits.memory_mb`, or 15 where that is not known"},
    {"caller_connections", &site_limit_settings::caller_connections, optional, 0, most_descriptors, "connections", name, "connections of callers; 0: 3/16 of `limits.descriptors`, but no more than a quarter of `limits.memory_mb` has room for at 40 KiB each"},
    {"request_stall_ms", &site_limit_settings::request_stall_time, optional, 100, one_minute_ms, "ms", name, "how long a request may be incomplete without anything more of it arriving"},
});

constexpr auto scheduling_members = std::to_array<member<site_scheduling_settings>>({
    {"learned_run_times", &site_scheduling_settings::learned_run_times, optional, 2, 4, "", feature_mode, "order and place work by run times and worker speeds learned from finished runs; `auto`: on where `bounds.checkpoint_interval_s` is 2 or more"},
    {"evict_from_leaving_workers", &site_scheduling_settings::evict_from_leaving_workers, optional, 2, 4, "", feature_mode, "stop work that will not end before its draining worker leaves, and start it elsewhere; `auto` as above"},
    {"refuse_hopeless_jobs", &site_scheduling_settings::refuse_hopeless_jobs, optional, 2, 4, "", feature_mode, "refuse submissions that would begin too late to be of use to their callers; `auto` as above"},
});
// clang-format on

void read_seeds(const internal::json& value, std::vector<std::string>& seeds,
                internal::fault_list& faults)
{
    if (!value.is_array()) {
        internal::add_fault(faults, base::error_code::settings_wrong_type, "seeds",
                            "expected a list of addresses");
        return;
    }
    for (const auto& entry : value) {
        if (entry.is_string() && internal::is_endpoint(entry.get<std::string>())) {
            seeds.push_back(entry.get<std::string>());
        } else {
            internal::add_fault(faults, base::error_code::settings_out_of_range,
                                fmt::format("seeds[{}]", seeds.size()), "not IP:port");
        }
    }
}

/// Reads a member of the whole settings; false when there is no such member.
bool read_member(std::string_view member_name, const internal::json& value, site_settings& settings,
                 internal::fault_list& faults)
{
    const std::string path{member_name};
    if (member_name == "vm") {
        internal::read_object(internal::members_of(settings.vm), value, path, settings.vm, faults);
    } else if (member_name == "listen") {
        internal::read_object(internal::members_of(settings.listen), value, path, settings.listen,
                              faults);
    } else if (member_name == "store") {
        internal::read_object(internal::members_of(settings.store), value, path, settings.store,
                              faults);
    } else if (member_name == "bounds") {
        internal::read_object(internal::members_of(settings.bounds), value, path, settings.bounds,
                              faults);
    } else if (member_name == "limits") {
        internal::read_object(internal::members_of(settings.limits), value, path, settings.limits,
                              faults);
    } else if (member_name == "scheduling") {
        internal::read_object(internal::members_of(settings.scheduling), value, path,
                              settings.scheduling, faults);
    } else if (member_name == "seeds") {
        read_seeds(value, settings.seeds, faults);
    } else if (member_name == "log_level" && value.is_string()) {
        settings.log_level = value.get<std::string>();
    } else {
        return member_name == "backend";
    }
    return true;
}

constexpr std::array<std::string_view, 4> required_sections{"vm", "listen", "store", "bounds"};

settings_faults unreadable(std::string place, std::string detail)
{
    return settings_faults{{base::error{
        base::error_code::settings_unreadable, std::move(place), std::move(detail), {}}}};
}

} // namespace

namespace internal
{

std::span<const member<site_listen_settings>> members_of(const site_listen_settings& /*owner*/)
{
    return listen_members;
}

std::span<const member<site_store_settings>> members_of(const site_store_settings& /*owner*/)
{
    return store_members;
}

std::span<const member<site_bound_settings>> members_of(const site_bound_settings& /*owner*/)
{
    return bound_members;
}

std::span<const member<site_limit_settings>> members_of(const site_limit_settings& /*owner*/)
{
    return limit_members;
}

std::span<const member<site_scheduling_settings>>
members_of(const site_scheduling_settings& /*owner*/)
{
    return scheduling_members;
}

} // namespace internal

bool is_enabled(std::string_view mode, const site_bound_settings& bounds)
{
    return mode == "on" ||
           (mode == "auto" && bounds.checkpoint_interval_s >= dear_checkpoint_interval_s);
}

bool is_site_settings(std::string_view text)
{
    const auto document = internal::json::parse(text, nullptr, false);
    return base::member_or(document, "backend", std::string{}) == "row_store";
}

BOOST_OUTCOME_V2_NAMESPACE::checked<site_settings, settings_faults>
parse_site_settings(std::string_view text)
{
    const auto document = internal::json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return unreadable("byte 1", "the text is not one JSON object");
    }
    site_settings settings;
    internal::fault_list faults;
    for (const auto& [member_name, value] : document.items()) {
        if (!read_member(member_name, value, settings, faults)) {
            internal::report_unknown(member_name, faults);
        }
    }
    for (const auto section : required_sections) {
        if (!document.contains(section)) {
            internal::report_missing(std::string{section}, faults);
        }
    }
    if (!faults.empty()) {
        return settings_faults{std::move(faults)};
    }
    return settings;
}

BOOST_OUTCOME_V2_NAMESPACE::checked<std::string, settings_faults>
read_settings_file(std::string_view path)
{
    std::ifstream file{std::string{path}};
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return unreadable(std::string{path}, "the file can't be read");
    }
    return text.str();
}

} // namespace poplarstile::settings
