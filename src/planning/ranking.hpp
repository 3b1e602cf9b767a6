#pragma once

#include "base/time.hpp"

#include <cstdint>

namespace poplarstile::planning
{

/// What the work that is left of a job can still reach.
enum class outlook : std::uint8_t {
    /// Done within its objective if it starts now.
    in_time,
    /// Beyond its objective, and still of use to its caller.
    late,
    /// Too late to be of use.
    overdue,
};

/// What the order of waiting work goes by.
struct ranking_input {
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Within its workspace's guarantee.
    bool guaranteed = false;
    /// Since the job was accepted.
    base::milliseconds age{0};
    /// The longest chain of work that is left, by its estimates.
    base::milliseconds remaining{0};
    /// Time from the submission within which the job is in time.
    base::milliseconds objective{0};
};

/// Rank of waiting work; smaller goes first.
struct work_rank {
    /// Of no use any more: after all else, in room that nobody wants.
    bool overdue = false;
    std::uint32_t priority = 0;
    /// Can't be in time: after work of its priority that can.
    bool late = false;
    /// Older work first.
    std::int64_t accepted_ms = 0;
};

/// True when work of the one rank is considered before work of the other.
[[nodiscard]] bool goes_before(const work_rank& one, const work_rank& other);

[[nodiscard]] outlook outlook_of(const ranking_input& facts);

/// Load pattern: more urgent work in a burst than there is room for. Without looking ahead, each
/// job waits until it is late, and all are late; so work that can be in time goes before work of
/// the same priority that can't, and work that is too late to be of use waits for idle room.
[[nodiscard]] work_rank rank_of(const ranking_input& facts, std::int64_t accepted_ms);

} // namespace poplarstile::planning
