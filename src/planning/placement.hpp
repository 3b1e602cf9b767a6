#pragma once

#include "planning/capacity_view.hpp"
#include "planning/plan_types.hpp"

#include <optional>
#include <span>
#include <string_view>

namespace poplarstile::planning
{

/// Which capacity of a worker a placement may use.
enum class capacity_kind : std::uint8_t { free, free_after_stops };

/// Whether tasks go to the rack of their data or to the other racks.
enum class data_locality : std::uint8_t { local, remote };

/// Places all tasks of a unit, or none. A gang that requires one rack is placed across racks only
/// when no rack could hold it even if empty. Load pattern: racks half full of small tasks while
/// gangs arrive; small tasks go to the fullest worker that has capacity for them, gangs to the rack
/// that is left with the fewest slots, so that whole workers stay free.
[[nodiscard]] std::optional<std::vector<assignment>>
place_all(const work_unit& unit, capacity_view& view, capacity_kind kind);

/// As `place_all`, but across any number of racks, where the work takes longer than in one rack.
[[nodiscard]] std::optional<std::vector<assignment>>
place_across_racks(const work_unit& unit, capacity_view& view, capacity_kind kind);

/// Places as many tasks of a unit as fit, each on its own.
[[nodiscard]] std::vector<assignment> place_individually(const work_unit& unit, capacity_view& view,
                                                         capacity_kind kind, data_locality side);

namespace internal
{

/// Number of tasks of the unit that fit into `capacity` of a worker, within the limit per worker.
[[nodiscard]] std::int64_t slots_on(const work_unit& unit, const batch::resources& capacity,
                                    std::size_t worker);

/// Assigns as many tasks as fit to the members, in order.
[[nodiscard]] std::vector<assignment> assign_in_order(const work_unit& unit,
                                                      std::span<const std::size_t> members,
                                                      const capacity_view& view,
                                                      capacity_kind kind);

/// True when the data of the unit's tasks is in another rack.
[[nodiscard]] bool is_remote(const work_unit& unit, std::string_view rack);

/// True when some rack could hold the whole unit if nothing else ran there.
[[nodiscard]] bool some_rack_can_hold(const work_unit& unit, capacity_view& view);

} // namespace internal

} // namespace poplarstile::planning
