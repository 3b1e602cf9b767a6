#pragma once

#include "planning/plan_types.hpp"
#include "planning/site_view.hpp"

#include <optional>
#include <span>

namespace poplarstile::planning
{

/// Which of a worker's rooms a placement may use.
enum class room_kind : std::uint8_t { free, free_after_stops };

/// Whether tasks go to the rack of their data, or to the others.
enum class data_side : std::uint8_t { near, away };

/// Where the tasks of a unit would go. Whole: all tasks or none. A gang that wants one rack gets
/// one where any rack could ever hold it. Load pattern: racks half full of small tasks while gangs
/// arrive; small tasks go to the fullest worker that holds them, gangs to the rack that they fill
/// best, so that whole workers stay free.
[[nodiscard]] std::optional<std::vector<assignment>> place_whole(const work_unit& unit,
                                                                 site_view& site, room_kind kind);

/// As `place_whole`, on whatever racks there are: the work takes longer than in one rack.
[[nodiscard]] std::optional<std::vector<assignment>>
place_scattered(const work_unit& unit, site_view& site, room_kind kind);

/// Places as many tasks of a unit as fit, one by one.
[[nodiscard]] std::vector<assignment> place_each(const work_unit& unit, site_view& site,
                                                 room_kind kind, data_side side);

namespace internal
{

/// How many tasks of the unit fit into `room` of a worker, its bound per worker counted in.
[[nodiscard]] std::int64_t slots_on(const work_unit& unit, const batch::resources& room,
                                    std::size_t worker);

/// True when some rack could hold the whole unit if nothing else ran there.
[[nodiscard]] bool some_rack_holds(const work_unit& unit, site_view& site);

} // namespace internal

} // namespace poplarstile::planning
