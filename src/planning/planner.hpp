#pragma once

#include "planning/plan_types.hpp"

#include <span>

namespace poplarstile::planning
{

/// Goes through the units in the order of their rank and decides what starts now, what stops to
/// make room, and which room is kept for work that waits for it.
[[nodiscard]] plan make_plan(std::span<const work_unit> units,
                             std::vector<worker_candidate> workers,
                             std::span<const victim> victims);

} // namespace poplarstile::planning
