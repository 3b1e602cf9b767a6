#pragma once

#include "planning/plan_types.hpp"

#include <span>

namespace poplarstile::planning
{

/// True if one of the units may have other work stopped; otherwise the plan needs no victims.
[[nodiscard]] bool may_preempt_any(std::span<const work_unit> units);

/// Considers the units in the order of their rank and decides which start now, which victims are
/// stopped to make capacity, and which capacity is reserved for waiting units.
[[nodiscard]] plan make_plan(std::span<const work_unit> units,
                             std::vector<worker_candidate> workers,
                             std::span<const victim> victims);

} // namespace poplarstile::planning
