#pragma once

#include "planning/capacity_view.hpp"
#include "planning/plan_types.hpp"

#include <cstddef>
#include <span>
#include <vector>

/// Placement of isolated units on workers that are idle anyway, beyond those that are held back for
/// them. Load pattern: a crash has left many isolated units, and few others want the workers.
namespace poplarstile::planning
{

/// Places tasks of an isolated unit on idle workers beyond the limit, after all other units have
/// been placed: on none that is held for other isolated units, on no more workers for one unit than
/// the limit, and so that no more than half of the workers of the service are closed to others;
/// three quarters, when the unit has waited for long.
[[nodiscard]] std::vector<assignment>
place_beyond_limit(const work_unit& unit, std::span<const std::size_t> held_for_others,
                   const capacity_view& view);

/// True when an isolated unit has waited for so long that later ones no longer take the idle
/// workers beyond the limit before it.
[[nodiscard]] bool is_no_longer_passed(const work_unit& unit);

} // namespace poplarstile::planning
