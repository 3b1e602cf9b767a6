#pragma once

#include "planning/plan_types.hpp"

#include <map>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace poplarstile::planning
{

/// Workers of one rack, by their index in the list of the plan.
struct rack_members {
    std::string_view rack{};
    std::vector<std::size_t> workers{};
};

/// The workers of one plan, their remaining capacity while the plan is built, and which of them may
/// run a unit. Load pattern: many waiting units of few kinds; the workers for each service and
/// label are looked up once per plan.
class capacity_view
{
public:
    explicit capacity_view(std::vector<worker_candidate> workers) : workers_{std::move(workers)} {}

    [[nodiscard]] const std::vector<worker_candidate>& workers() const
    {
        return workers_;
    }
    [[nodiscard]] const worker_candidate& worker(std::size_t index) const
    {
        return workers_[index];
    }

    /// Schedulable workers of the unit's service that have its required label, by rack: without
    /// those of isolated units, and without those that are held back from the unit. The caller
    /// checks whether the tasks fit.
    [[nodiscard]] const std::vector<rack_members>& racks_for(const work_unit& unit);

    /// From now on, only guaranteed units may use these workers.
    void hold_back(std::span<const std::size_t> workers);

    /// From now on, every unit may use the workers that were held back.
    void end_hold_back();

    /// From now on, no other unit is placed on the workers of these tasks.
    void close(std::span<const assignment> tasks);

    /// From now on, capacity that is held for urgent work counts as taken.
    void withhold_urgent_capacity();

    /// Subtracts the needs of the assigned tasks from both capacities of their workers.
    void take(const work_unit& unit, std::span<const assignment> tasks);

    /// Adds the resources of a stopped victim to the capacity that is free after stops.
    void release(const victim& stopped);

private:
    /// Units with the same service, required label, and right to use workers that are held back.
    using unit_kind = std::tuple<std::string_view, std::string_view, bool>;

    [[nodiscard]] bool may_run(std::size_t index, const unit_kind& kind) const;

    std::vector<worker_candidate> workers_;
    /// By worker; empty while none is held back.
    std::vector<bool> held_back_{};
    std::map<unit_kind, std::vector<rack_members>> racks_{};
};

} // namespace poplarstile::planning
