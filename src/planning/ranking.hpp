#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace poplarstile::planning
{

/// Only work of this priority may preempt other work, and gets the capacity that is held for urgent
/// work.
constexpr std::uint32_t urgent_priority = 0;

/// When the remaining work of a job is expected to end, relative to its objective.
enum class timeliness : std::uint8_t {
    /// Within its objective if it starts now.
    in_time,
    /// After its objective, but still of use to the caller.
    late,
    /// Too late to be of use to the caller.
    overdue,
};

/// Properties of waiting work that determine its rank.
struct ranking_input {
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Covered by its workspace's guarantee.
    bool guaranteed = false;
    /// Time since the job was accepted.
    base::milliseconds age{0};
    /// Longest chain of remaining work, by its estimates.
    base::milliseconds remaining{0};
    /// Target time from submission to completion.
    base::milliseconds objective{0};
};

/// Rank of waiting work; a smaller rank is considered first.
struct work_rank {
    /// No longer of use: considered after all other work, for capacity that nothing else wants.
    bool overdue = false;
    std::uint32_t priority = 0;
    /// Cannot meet its objective: considered after work of the same priority that can.
    bool late = false;
    /// Earlier work is considered first.
    std::int64_t accepted_ms = 0;
    /// Covered by its workspace's guarantee: considered before other work of the same priority.
    bool guaranteed = false;
};

/// True when work of rank `one` is considered before work of rank `other`.
[[nodiscard]] bool ranks_before(const work_rank& one, const work_rank& other);

/// Estimates the timeliness of the remaining work if it starts now.
[[nodiscard]] timeliness timeliness_of(const ranking_input& facts);

/// Computes the rank of waiting work. Load pattern: a burst of more urgent work than there is
/// capacity for. In plain order of age, each job would wait until it is late, and all would be
/// late; so work that can meet its objective ranks before work of the same priority that cannot,
/// and work that is too late to be of use waits for idle capacity.
[[nodiscard]] work_rank rank_of(const ranking_input& facts, std::int64_t accepted_ms);

} // namespace poplarstile::planning
