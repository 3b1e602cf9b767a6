#pragma once

#include "planning/capacity_view.hpp"
#include "planning/plan_types.hpp"

#include <set>
#include <span>
#include <string_view>

/// How long work may be kept from free capacity for a preference. Load pattern: most of the
/// capacity is free, but split over racks, or kept for others that can't use it yet.
namespace poplarstile::planning
{

/// Services of which less than half of the capacity is in use.
[[nodiscard]] std::set<std::string_view>
mostly_free_services(std::span<const worker_candidate> workers);

/// True when a unit of a mostly free service has waited for so long that it takes any free
/// capacity.
[[nodiscard]] bool takes_any_free_capacity(const work_unit& unit);

/// True when a gang that requires one rack has waited for as long as running in one would save.
[[nodiscard]] bool no_longer_waits_for_a_rack(const work_unit& unit);

} // namespace poplarstile::planning
