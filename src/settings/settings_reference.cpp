#include "settings/settings_reference.hpp"

#include "settings/internal/schema.hpp"
#include "settings/internal/site_schema.hpp"

#include <fmt/format.h>

namespace poplarstile::settings
{
namespace
{

using internal::member;
using internal::presence;
using internal::text_format;

/// The default of a member, as it stands in a fresh object.
template <class Owner>
struct default_writer {
    const Owner* owner;

    std::string operator()(std::string Owner::*field) const
    {
        return (owner->*field).empty() ? "empty" : fmt::format("`{}`", owner->*field);
    }
    std::string operator()(base::milliseconds Owner::*field) const
    {
        return fmt::format("`{}`", (owner->*field).count());
    }
    std::string operator()(objective Owner::*field) const
    {
        return owner->*field == objective::completion_time ? "`completion_time`"
                                                           : "`fragmentation`";
    }
    template <class Number>
    std::string operator()(Number Owner::*field) const
    {
        return fmt::format("`{}`", owner->*field);
    }
};

template <class Owner>
std::string range_of(const member<Owner>& described)
{
    if (std::holds_alternative<objective Owner::*>(described.field)) {
        return "`completion_time` or `fragmentation`";
    }
    if (!std::holds_alternative<std::string Owner::*>(described.field)) {
        return fmt::format("{} to {}", described.least, described.greatest);
    }
    switch (described.format) {
    case text_format::ip_number:
        return "IP number";
    case text_format::endpoint:
        return "`IP:port`";
    case text_format::optional_endpoint:
        return "`IP:port` or empty";
    case text_format::log_level:
        return "`trace`, `debug`, `info`, `warning` or `error`";
    case text_format::feature_mode:
        return "`off`, `on` or `auto`";
    case text_format::name:
    case text_format::secret:
        break;
    }
    return fmt::format("{} to {}", described.least, described.greatest);
}

template <class Owner>
std::string table_of(std::string_view prefix, std::span<const member<Owner>> members)
{
    static const Owner fresh;
    std::string rows;
    for (const auto& described : members) {
        const auto fallback = described.needed == presence::required
                                  ? std::string{"required"}
                                  : std::visit(default_writer<Owner>{&fresh}, described.field);
        rows += fmt::format("| `{}{}` | {} | {} | {} | {} |\n", prefix, described.name, fallback,
                            range_of(described), described.unit, described.meaning);
    }
    return rows;
}

/// The members on a platform with a row store.
std::string site_page()
{
    std::string page = "\n# Settings on a platform with a row store\n\n"
                       "Told by `\"backend\": \"row_store\"`. `seeds` is a list of peer addresses "
                       "of VMs that may exist.\n\n"
                       "| member | default | range | unit | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    using internal::members_of;
    page += table_of("vm.", members_of(vm_identity{}));
    page += table_of("listen.", members_of(site_listen_settings{}));
    page += table_of("store.", members_of(site_store_settings{}));
    page += table_of("bounds.", members_of(site_bound_settings{}));
    page += table_of("limits.", members_of(site_limit_settings{}));
    page += table_of("scheduling.", members_of(site_scheduling_settings{}));
    return page;
}

} // namespace

std::string reference_page()
{
    std::string page = "# Settings\n\n"
                       "One JSON object, checked whole before anything starts. An unknown member "
                       "is a fault.\n`scripts/settings_page.sh` writes this page; a test holds it "
                       "and the code together.\n\n"
                       "| member | default | range | unit | meaning |\n"
                       "| --- | --- | --- | --- | --- |\n";
    using internal::members_of;
    page += table_of("vm.", members_of(vm_identity{}));
    page += table_of("listen.", members_of(listen_settings{}));
    page += table_of("platform.", members_of(platform_settings{}));
    page += table_of("workers[].", members_of(worker_entry{}));
    page += table_of("peers[].", members_of(peer_entry{}));
    page += table_of("", members_of(vm_settings{}));
    page += table_of("limits.", members_of(limit_settings{}));
    page += table_of("times.", members_of(time_settings{}));
    page += table_of("policy.", internal::policy_members());
    page += "\n## What must hold together\n\n"
            "The three ports differ. Workers differ in id, address and place in their rack; peers "
            "in id and address,\nalso from the VM itself. `times.worker_lease_ms` is at least 3 "
            "times `times.worker_heartbeat_ms`,\n`times.scheduler_timeout_ms` 3 times "
            "`times.scheduler_renewal_ms` and `times.suspicion_timeout_ms` 3 times\n"
            "`times.gossip_interval_ms`. A takeover ends within a lease: "
            "`times.scheduler_timeout_ms`,\ntwo `times.scheduler_renewal_ms` and "
            "`times.worker_heartbeat_ms` together are at most\n`times.worker_lease_ms`. "
            "`times.default_deadline_ms` is at most "
            "`times.max_deadline_ms`,\n`limits.max_connections_per_caller` at most "
            "`limits.max_caller_connections`, and\n`limits.max_queued_requests` at least "
            "`limits.max_connections_per_worker`.\n";
    return page + site_page();
}

} // namespace poplarstile::settings
