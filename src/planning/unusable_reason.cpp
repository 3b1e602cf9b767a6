#include "planning/unusable_reason.hpp"

namespace poplarstile::planning
{

std::string_view name_of(unusable_reason reason)
{
    static constexpr std::array<std::string_view, unusable_reason_count> names{
        "none",           "no_lease_authority", "unlisted",     "draining",
        "domain_drained", "drains_not_read",    "not_fenced",   "silent",
        "clock_unknown",  "unknown_jobs",       "unknown_need", "capacity_too_old",
        "recent_failures"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace poplarstile::planning
