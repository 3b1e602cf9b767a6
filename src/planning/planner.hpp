#pragma once

#include "planning/plan_types.hpp"

#include <span>

namespace poplarstile::planning
{

/// Considers the units in the order of their rank and decides which start now, which victims are
/// stopped to make capacity, and which capacity is reserved for waiting units.
[[nodiscard]] plan make_plan(std::span<const work_unit> units,
                             std::vector<worker_candidate> workers,
                             std::span<const victim> victims);

} // namespace poplarstile::planning
