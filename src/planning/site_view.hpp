#pragma once

#include "planning/plan_types.hpp"

#include <map>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarstile::planning
{

/// Workers of one rack, by their index in the plan's list.
struct rack_members {
    std::string_view rack{};
    std::vector<std::size_t> workers{};
};

/// The workers of one plan, their room as the plan uses it up, and which of them may run what.
/// Load pattern: many waiting units of few kinds; the workers of a kind are looked up once a plan.
class site_view
{
public:
    explicit site_view(std::vector<worker_candidate> workers) : workers_{std::move(workers)} {}

    [[nodiscard]] const std::vector<worker_candidate>& workers() const
    {
        return workers_;
    }
    [[nodiscard]] const worker_candidate& worker(std::size_t index) const
    {
        return workers_[index];
    }

    /// Open workers of the unit's service that bear its label, by rack. Whether a task's need fits
    /// is left to the caller.
    [[nodiscard]] const std::vector<rack_members>& racks_for(const work_unit& unit);

    /// Takes what the assignments need out of both rooms of their workers.
    void take(const work_unit& unit, std::span<const assignment> tasks);

    /// Counts what a victim holds as coming free.
    void release(const victim& stopped);

private:
    std::vector<worker_candidate> workers_;
    /// By service and label.
    std::map<std::pair<std::string_view, std::string_view>, std::vector<rack_members>> racks_{};
};

} // namespace poplarstile::planning
