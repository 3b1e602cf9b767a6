#pragma once

#include "planning/capacity_view.hpp"
#include "planning/plan_types.hpp"

#include <cstddef>
#include <span>
#include <vector>

/// Placement of units whose tasks are suspected of crashing workers: only where nothing else runs,
/// so that a crash is evidence against them and ends no other run. Load pattern: every worker is
/// busy and new work keeps coming, so that no worker would become idle by itself.
namespace poplarstile::planning
{

/// Number of workers of a service, out of `workers`, that are kept from other work for isolated
/// units, whether those can start there yet or not. The only worker of a service is never kept from
/// other work.
[[nodiscard]] std::size_t isolation_limit(std::size_t workers);

/// The workers held back for a unit.
struct held_workers {
    std::size_t unit = 0;
    std::vector<std::size_t> workers{};
};

/// Which units of a plan are isolated, and the workers held back for them.
struct isolation_plan {
    /// By unit. An isolated unit that needs more workers than the limit allows is not among them:
    /// it is placed as any other.
    std::vector<bool> isolated{};
    std::vector<held_workers> held{};
    /// The isolated units, the earliest accepted first.
    std::vector<std::size_t> order{};
};

/// Holds back idle workers, or else the least used ones, for the isolated units, earliest first.
/// A worker that is held back stays the least used as its runs end, so that later plans choose it
/// again until it is idle.
[[nodiscard]] isolation_plan plan_isolation(std::span<const work_unit> units, capacity_view& view);

/// Places tasks of an isolated unit on those of the held workers that are idle: all tasks of a gang
/// or none, and as many others as fit.
[[nodiscard]] std::vector<assignment>
place_isolated(const work_unit& unit, std::span<const std::size_t> held, const capacity_view& view);

} // namespace poplarstile::planning
