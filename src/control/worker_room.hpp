#pragma once

#include "control/plan_input.hpp"
#include "control/worker_state.hpp"

#include <cstddef>
#include <cstdint>

namespace poplarstile::control
{

/// What may be in use on a worker: all that was ordered there and is not surely over, and what the
/// worker lists beyond that. Every start is judged by this.
struct worker_room {
    batch::resources in_use{};
    /// The part of `in_use` that is being stopped, and counts until it has ended.
    batch::resources being_stopped{};
    /// Runs that only the worker tells of.
    std::size_t unknown_runs = 0;
    /// False while something may run there whose need is not known: then nothing may start there.
    bool known = true;

    /// True when all of it is known and fits into `capacity`.
    [[nodiscard]] bool fits(const batch::resources& capacity) const
    {
        return known && in_use.fits(capacity);
    }
};

[[nodiscard]] worker_room room_of(const worker_state& worker);

/// Number of tasks of a step that may be on the worker, by the same reckoning.
[[nodiscard]] std::uint32_t tasks_on(const worker_state& worker, const unit_origin& step);

} // namespace poplarstile::control
