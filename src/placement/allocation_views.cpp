#include "placement/allocation.hpp"

#include <algorithm>

/// The reporting half of `allocation`.
namespace poplarstile::placement
{

std::vector<member_place> allocation::members_of(work_id work) const
{
    const auto found = works_.find(work);
    if (found == works_.end()) {
        return {};
    }
    return member_places(hardware_, found->second.where, found->second.request.shape);
}

std::optional<cell> allocation::cell_of(work_id work) const
{
    const auto found = works_.find(work);
    return found == works_.end() ? std::nullopt : std::optional{found->second.where};
}

std::optional<std::uint32_t> allocation::guarantee_level_of(work_id work) const
{
    const auto found = works_.find(work);
    if (found == works_.end() || !found->second.instance) {
        return std::nullopt;
    }
    return guarantees_[*found->second.instance].bound->level;
}

placement_wait allocation::explain(const work_request& request) const
{
    const auto need = need_of(request.shape);
    placement_wait wait;
    std::size_t fewest = 0;
    for (std::uint32_t line = 0; line < lines_.size(); ++line) {
        if (hardware_.width_level(line) < need.width_level) {
            continue;
        }
        const auto& states = lines_[line];
        for (std::uint32_t first = 0; first < states.size(); first += 1U << need.level) {
            std::vector<work_id> blockers;
            bool usable = true;
            for (const auto offset : footprint({line, first, need.level}, request.shape)) {
                usable = usable && offset < states.size() && states[offset].usable;
                if (!usable) {
                    break;
                }
                for (const auto blocker : {states[offset].occupant, states[offset].claimant}) {
                    if (blocker != 0 && std::ranges::find(blockers, blocker) == blockers.end()) {
                        blockers.push_back(blocker);
                    }
                }
            }
            if (!usable) {
                continue;
            }
            if (blockers.empty() && !request.stoppable) {
                wait.cause = wait_cause::guarantee_of_others;
                wait.blocked_by.clear();
                break;
            }
            if (wait.cause == wait_cause::hardware || blockers.size() < fewest) {
                wait.cause = wait_cause::occupied;
                fewest = blockers.size();
                wait.blocked_by = std::move(blockers);
            }
        }
        if (wait.cause == wait_cause::guarantee_of_others) {
            break;
        }
    }
    for (const auto& instance : guarantees_) {
        const bool own = instance.workspace == request.workspace;
        const bool rests_on_others = wait.cause == wait_cause::guarantee_of_others && !own;
        const bool rests_on_own = wait.cause == wait_cause::occupied && own && instance.bound;
        if (wait.rule.empty() && (rests_on_others || rests_on_own)) {
            wait.rule = instance.rule;
        }
    }
    return wait;
}

std::vector<cell_demand> allocation::unmet() const
{
    auto demands = owed(std::nullopt);
    const auto missing = shortfall(available_, demands);
    for (std::size_t index = 0; index < demands.size(); ++index) {
        demands[index].count = missing[index];
    }
    std::erase_if(demands, [](const cell_demand& demand) { return demand.count == 0; });
    return demands;
}

std::uint32_t allocation::free_cells(const rules::shape& wanted) const
{
    const auto need = need_of(wanted);
    std::uint32_t cells = 0;
    for (auto width = need.width_level; width <= free_.top_width_level(); ++width) {
        cells += free_.count(width, need.level) + bound_free_.count(width, need.level) +
                 reserved_free_.count(width, need.level);
    }
    return cells;
}

std::uint32_t allocation::reclaimable_cells(const rules::shape& wanted) const
{
    const auto need = need_of(wanted);
    std::uint32_t cells = 0;
    for (auto width = need.width_level; width <= available_.top_width_level(); ++width) {
        cells += available_.count(width, need.level);
    }
    return cells;
}

bool allocation::all_usable() const
{
    return std::ranges::all_of(lines_, [](const std::vector<accelerator_state>& line) {
        return std::ranges::all_of(line, &accelerator_state::usable);
    });
}

std::uint32_t allocation::free_accelerators() const
{
    return free_accelerators_;
}

std::uint32_t allocation::free_accelerators_of(std::size_t worker) const
{
    std::uint32_t free = 0;
    for (std::uint32_t at = 0; at < hardware_.workers()[worker].accelerators; ++at) {
        free += is_free(state_at(hardware_.place_of(worker, at))) ? 1 : 0;
    }
    return free;
}

double allocation::fragmentation(const rules::shape& wanted) const
{
    if (free_accelerators_ == 0) {
        return 0.0;
    }
    const auto whole = std::uint64_t{free_cells(wanted)} << need_of(wanted).level;
    return 1.0 - static_cast<double>(whole) / static_cast<double>(free_accelerators_);
}

} // namespace poplarstile::placement
