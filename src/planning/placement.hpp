#pragma once

#include "planning/plan_types.hpp"

#include <optional>
#include <span>

namespace poplarstile::planning
{

/// Which of a worker's rooms a placement may use.
enum class room_kind : std::uint8_t { free, coming };

/// Where the tasks of a unit would go. Whole: all tasks or none. A gang that wants one rack gets
/// one where any rack could ever hold it. Load pattern: racks half full of small tasks while gangs
/// arrive; small tasks go to the fullest worker that holds them, gangs to the rack that they fill
/// best, so that whole workers stay free.
[[nodiscard]] std::optional<std::vector<assignment>>
place_whole(const work_unit& unit, std::span<const worker_room> workers, room_kind kind);

/// Places as many tasks of a unit as fit, one by one.
[[nodiscard]] std::vector<assignment> place_each(const work_unit& unit,
                                                 std::span<const worker_room> workers,
                                                 room_kind kind, bool away_from_data);

/// Takes what the assignments need out of both rooms of their workers.
void take_room(const work_unit& unit, std::span<const assignment> tasks,
               std::span<worker_room> workers);

/// True when the worker could run a task of the unit, whatever runs there now.
[[nodiscard]] bool may_run(const work_unit& unit, const worker_room& worker);

namespace internal
{

/// How many tasks of the unit fit into a worker's room, its bound per worker counted in.
[[nodiscard]] std::int64_t slots_on(const work_unit& unit, const worker_room& worker,
                                    const batch::resources& room, std::size_t index);

/// True when some rack could hold the whole unit if nothing else ran there.
[[nodiscard]] bool some_rack_holds(const work_unit& unit, std::span<const worker_room> workers);

} // namespace internal

} // namespace poplarstile::planning
