#pragma once

#include "base/time.hpp"
#include "batch/job_spec.hpp"

#include <vector>

namespace poplarstile::planning
{

/// Capacity of one worker that urgent work has left a short time ago. It is held for the next
/// urgent work, since other work that is started there would soon be preempted, and what it had
/// done would be lost. Load pattern: urgent gangs arrive all the time at workers that are full of
/// longer work of a lower priority.
class capacity_hold
{
public:
    /// Urgent work has ended and left these resources.
    void add(const batch::resources& left, base::time_point now);

    /// Urgent work is placed on the worker: it takes what was held the longest.
    void take(batch::resources need);

    /// What is held now.
    [[nodiscard]] batch::resources held(base::time_point now);

private:
    struct entry {
        batch::resources left{};
        base::time_point until{};
    };

    /// The earliest first.
    std::vector<entry> entries_{};
};

} // namespace poplarstile::planning
