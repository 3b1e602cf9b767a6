#include "planning/capacity_view.hpp"

#include <algorithm>

namespace poplarstile::planning
{
bool capacity_view::may_run(std::size_t index, const unit_kind& kind) const
{
    const auto& [service, label, may_use_held_back] = kind;
    const auto& worker = workers_[index];
    if (!worker.schedulable || worker.isolated || worker.facts->service != service) {
        return false;
    }
    if (!held_back_.empty() && held_back_[index] && !may_use_held_back) {
        return false;
    }
    const auto& labels = worker.facts->labels;
    return label.empty() || std::ranges::find(labels, label) != labels.end();
}

const std::vector<rack_members>& capacity_view::racks_for(const work_unit& unit)
{
    const unit_kind kind{*unit.service, unit.spec->required_label,
                         unit.guaranteed || held_back_.empty()};
    const auto [position, added] = racks_.try_emplace(kind);
    if (!added) {
        return position->second;
    }
    std::map<std::string_view, std::vector<std::size_t>> by_name;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        if (may_run(index, kind)) {
            by_name[workers_[index].facts->rack].push_back(index);
        }
    }
    for (auto& [name, members] : by_name) {
        position->second.push_back({name, std::move(members)});
    }
    return position->second;
}

void capacity_view::hold_back(std::span<const std::size_t> workers)
{
    held_back_.resize(workers_.size());
    for (const auto index : workers) {
        held_back_[index] = true;
    }
    racks_.clear();
}

void capacity_view::end_hold_back()
{
    held_back_.clear();
    racks_.clear();
}

void capacity_view::close(std::span<const assignment> tasks)
{
    for (const auto& placed : tasks) {
        workers_[placed.worker].isolated = true;
    }
    racks_.clear();
}

void capacity_view::withhold_urgent_capacity()
{
    for (auto& worker : workers_) {
        worker.free -= worker.held_for_urgent;
        worker.free_after_stops -= worker.held_for_urgent;
    }
}

void capacity_view::take(const work_unit& unit, std::span<const assignment> tasks)
{
    for (const auto& placed : tasks) {
        workers_[placed.worker].free -= unit.spec->need;
        workers_[placed.worker].free_after_stops -= unit.spec->need;
        workers_[placed.worker].occupied = true;
    }
}

void capacity_view::release(const victim& stopped)
{
    for (const auto& holding : stopped.holdings) {
        workers_[holding.worker].free_after_stops += holding.need;
    }
}

} // namespace poplarstile::planning
