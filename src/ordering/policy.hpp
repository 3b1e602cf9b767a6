#pragma once

#include "base/time.hpp"

#include <array>
#include <cstddef>

/// The constants of the order in which jobs start.
namespace poplarstile::ordering
{

/// Queues by attained service; a job moves down as it runs.
inline constexpr std::size_t service_bounds = 3;

struct policy {
    /// True when only urgency, precedence of classes and arrival count.
    bool arrival_order = false;
    /// A job that has waited this long goes before all but urgent jobs and those that waited
    /// longer.
    base::milliseconds ageing{90'000};
    /// Attained run time at which a job enters the next queue (Gu et al., "Tiresias", NSDI 2019:
    /// discretised least attained service; declared run times are not used).
    std::array<base::milliseconds, service_bounds> level_bounds{
        base::milliseconds{5'000}, base::milliseconds{20'000}, base::milliseconds{80'000}};
    /// True when smaller shapes of one service queue go first.
    bool small_first = true;
    /// True when running work that gives way makes room for work of a higher queue.
    bool preempt = true;
    /// Work that ran less than this since its start is not stopped for the sake of the order.
    base::milliseconds least_run{500};
    /// Jobs for which room is made at a time.
    std::size_t max_claims = 8;
    /// True when cells are kept free for the job that has waited longest past the ageing time.
    bool reserve = true;
};

/// What the order weighs more.
enum class objective { completion_time, fragmentation };

/// The constants for an objective: fragmentation starts large shapes sooner.
[[nodiscard]] constexpr policy policy_for(objective weighed)
{
    policy constants;
    if (weighed == objective::fragmentation) {
        constants.ageing = base::milliseconds{60'000};
        constants.small_first = false;
    }
    return constants;
}

/// Queue of a job with this attained service, from 0.
[[nodiscard]] constexpr std::size_t service_level(const policy& rules, base::milliseconds attained)
{
    std::size_t level = 0;
    for (const auto bound : rules.level_bounds) {
        level += attained >= bound ? 1 : 0;
    }
    return level;
}

} // namespace poplarstile::ordering
