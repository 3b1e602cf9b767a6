#include "planning/capacity_view.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

bool may_run(const worker_candidate& worker, std::string_view service, std::string_view label)
{
    if (!worker.schedulable || worker.facts->service != service) {
        return false;
    }
    const auto& labels = worker.facts->labels;
    return label.empty() || std::ranges::find(labels, label) != labels.end();
}

} // namespace

const std::vector<rack_members>& capacity_view::racks_for(const work_unit& unit)
{
    const std::pair<std::string_view, std::string_view> kind{*unit.service,
                                                             unit.spec->required_label};
    const auto [position, added] = racks_.try_emplace(kind);
    if (!added) {
        return position->second;
    }
    std::map<std::string_view, std::vector<std::size_t>> by_name;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        if (may_run(workers_[index], kind.first, kind.second)) {
            by_name[workers_[index].facts->rack].push_back(index);
        }
    }
    for (auto& [name, members] : by_name) {
        position->second.push_back({name, std::move(members)});
    }
    return position->second;
}

void capacity_view::take(const work_unit& unit, std::span<const assignment> tasks)
{
    for (const auto& placed : tasks) {
        workers_[placed.worker].free -= unit.spec->need;
        workers_[placed.worker].free_after_stops -= unit.spec->need;
    }
}

void capacity_view::release(const victim& stopped)
{
    for (const auto& holding : stopped.holdings) {
        workers_[holding.worker].free_after_stops += holding.need;
    }
}

} // namespace poplarstile::planning
