#pragma once

#include "base/time.hpp"
#include "planning/ranking.hpp"

#include <cstdint>

namespace poplarstile::planning
{

/// How the speed of workers matters to a unit of work.
struct speed_need {
    /// Speed of the slowest workers on which the unit is expected to meet its objective; 0 when the
    /// speed makes no difference to that.
    double least = 0.0;
    /// The unit leaves fast workers to others.
    bool prefers_slow = false;
    /// Expected run time of one task on a worker of speed 1; 0 when speeds are not considered.
    base::milliseconds expected{0};
};

/// Speed at which the remaining work would meet its objective or, where that is out of reach, still
/// be of use; 0 when neither is in reach. Load pattern: workers of uneven speed, on some of which
/// urgent work ends too late; work with time to spare may run on any of them.
[[nodiscard]] double least_speed_of(const ranking_input& facts);

/// True when the unit is expected to miss its objective on such a worker.
[[nodiscard]] bool is_too_slow(const speed_need& need, double speed, base::milliseconds cold_left);

/// Order in which a unit takes workers, by their speed; always 0 where speed makes no difference.
[[nodiscard]] std::uint32_t speed_rank(const speed_need& need, double speed,
                                       base::milliseconds cold_left);

/// True for a slow worker which, of two that are equally full, is taken after a faster one.
[[nodiscard]] bool yields_to_fast(const speed_need& need, double speed);

} // namespace poplarstile::planning
