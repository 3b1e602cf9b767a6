#pragma once

#include "base/result.hpp"
#include "placement/cell_index.hpp"

#include <span>
#include <string>
#include <vector>

namespace poplarstile::placement
{

/// Cells of one kind that are asked for at once.
struct cell_demand {
    cell_need need{};
    std::uint32_t count = 0;
};

/// A whole cell that is thought away: its width level, its level, and the level of the largest
/// whole cell that holds it.
struct removed_cell {
    std::uint32_t width_level = 0;
    std::uint32_t level = 0;
    std::uint32_t enclosing_level = 0;

    auto operator<=>(const removed_cell&) const = default;
};

/// How many of each demand can't be had; the largest first.
///
/// Cells are taken from the largest demand to the smallest, each on the narrowest workers that
/// serve it. Whole cells of one level and width can stand for each other and wider ones can stand
/// for narrower ones, so no other order does better (Zhao et al., "HiveD", OSDI 2020, on buddy
/// cells). `demands` is sorted by falling need. The cost depends on levels, not on accelerators.
[[nodiscard]] std::vector<std::uint32_t>
shortfall(const cell_index& available, std::span<const cell_demand> demands,
          const std::optional<removed_cell>& without = std::nullopt);

/// The hardware of one failure domain.
struct domain_hardware {
    std::string failure_domain{};
    topology hardware{};
};

/// Tells which guarantees can't all be met at once on whole hardware: `rules_infeasible` for the
/// first line of each failure domain that does not fit beside the lines above it, with the lines
/// it collides with. Lines of failure domains that are not given are not judged.
[[nodiscard]] std::vector<base::error> check_guarantees(const rules::ruleset& rules,
                                                        std::span<const domain_hardware> domains);

} // namespace poplarstile::placement
