#pragma once

#include "planning/plan_types.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace poplarstile::planning
{

/// The starts of a plan that can be sent soon.
struct limited_starts {
    std::vector<placed_unit> starts{};
    /// Placed tasks that were left out; they go on waiting.
    std::size_t held_back = 0;
};

/// Takes the starts of a plan in their order while fewer than `most` tasks are under way, of which
/// there are `under_way` before. A gang is taken whole or not at all, also beyond the limit while
/// there is room for one of its tasks; of other units as many tasks as there is room for. Load
/// pattern: the backlog of several dozen wide jobs at the start of a day, whose starts would fill
/// the leader's link for longer than the leases that they carry.
[[nodiscard]] limited_starts limit_starts(std::span<const work_unit> units,
                                          std::vector<placed_unit> placed, std::size_t under_way,
                                          std::size_t most);

} // namespace poplarstile::planning
