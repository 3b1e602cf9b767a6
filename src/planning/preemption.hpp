#pragma once

#include "planning/capacity_view.hpp"
#include "planning/plan_types.hpp"

#include <optional>
#include <span>
#include <vector>

namespace poplarstile::planning
{

/// Victims to stop for a unit, and the placement of the unit once they have stopped.
struct preemption_plan {
    std::vector<std::size_t> victims{};
    std::vector<assignment> tasks{};
    /// Core-seconds lost by the victims.
    double loss = 0.0;
    /// Core-seconds by which the placement is worth less to the unit, because some of its workers
    /// are too slow for it.
    double slow_cost = 0.0;
};

/// The victims of one plan, indexed by worker with the cheapest first, and which of them the plan
/// stops already.
class victim_table
{
public:
    victim_table(std::span<const victim> victims, std::size_t workers);

    [[nodiscard]] std::span<const victim> all() const
    {
        return victims_;
    }
    [[nodiscard]] const std::vector<std::size_t>& on_worker(std::size_t worker) const
    {
        return by_worker_[worker];
    }
    [[nodiscard]] const std::vector<bool>& stopped() const
    {
        return stopped_;
    }
    void stop(std::size_t index)
    {
        stopped_[index] = true;
    }

private:
    std::span<const victim> victims_;
    std::vector<std::vector<std::size_t>> by_worker_;
    std::vector<bool> stopped_;
};

/// Finds the cheapest set of victims that makes capacity for the whole unit. Candidates are all
/// work of a lower priority, and for a guaranteed unit also work of its own priority that no
/// guarantee covers. Returns `std::nullopt` when no set is sufficient. Load pattern: a burst of
/// urgent gangs while every rack is full of longer work.
[[nodiscard]] std::optional<preemption_plan>
plan_preemption(const work_unit& unit, capacity_view& view, const victim_table& table);

} // namespace poplarstile::planning
