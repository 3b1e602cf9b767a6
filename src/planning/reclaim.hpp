#pragma once

#include "planning/plan_types.hpp"

#include <optional>
#include <span>

namespace poplarstile::planning
{

/// What has to stop so that a unit finds room, and where the unit then goes.
struct reclaim_plan {
    std::vector<std::size_t> victims{};
    std::vector<assignment> tasks{};
    /// Core-seconds lost by the victims.
    double loss = 0.0;
};

/// The cheapest stops that make room for the whole unit. Victims are all work of a lower priority,
/// and for a guaranteed unit also work of its own priority beyond a guarantee.
/// `stopped` marks victims that are taken already. Nothing when no set of stops is enough.
/// Load pattern: a burst of urgent gangs while every rack is full of longer work.
[[nodiscard]] std::optional<reclaim_plan> plan_reclaim(const work_unit& unit,
                                                       std::span<const worker_room> workers,
                                                       std::span<const victim> victims,
                                                       const std::vector<bool>& stopped);

} // namespace poplarstile::planning
