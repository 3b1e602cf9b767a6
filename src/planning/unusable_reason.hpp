#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarstile::planning
{

/// Why no new work may be placed on a worker.
enum class unusable_reason : std::uint8_t {
    none,
    /// This leader may extend no lease at any worker now.
    no_lease_authority,
    unlisted,
    draining,
    /// The operator drains its failure domain.
    domain_drained,
    /// This leader has not read yet which failure domains the operator drains.
    drains_not_read,
    /// It has not accepted this leader's fencing token yet.
    not_fenced,
    silent,
    clock_unknown,
    /// It runs tasks of jobs that are in no part of the store that was read so far.
    unknown_jobs,
    /// It runs a task whose need is not known.
    unknown_need,
    capacity_too_old,
    recent_failures,
};

inline constexpr std::size_t unusable_reason_count = 13;

/// Name in logs.
[[nodiscard]] std::string_view name_of(unusable_reason reason);

/// Numbers of workers by reason.
using unusable_counts = std::array<std::size_t, unusable_reason_count>;

} // namespace poplarstile::planning
