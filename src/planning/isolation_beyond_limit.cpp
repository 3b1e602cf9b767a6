#include "planning/isolation_beyond_limit.hpp"

#include "planning/isolation.hpp"
#include "planning/placement.hpp"
#include "planning/progress.hpp"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

namespace poplarstile::planning
{
namespace
{

/// Idle workers that nothing else wanted hold isolated units up to this part of the workers.
constexpr std::size_t workers_per_closed_worker = 2;
/// The same for units that have waited for long: one worker in this many stays open.
constexpr std::size_t workers_per_open_worker = 4;
/// Later isolated units go first for at most this long, so that a wide gang has its turn.
constexpr base::milliseconds longest_wait_while_passed{10'000};

/// Idle workers that may run the unit, those without suspicion and with the most capacity first.
std::vector<std::size_t> idle_workers(const work_unit& unit,
                                      std::span<const std::size_t> held_for_others,
                                      const capacity_view& view)
{
    std::vector<std::size_t> idle;
    const auto& label = unit.spec->required_label;
    for (std::size_t index = 0; index < view.workers().size(); ++index) {
        const auto& worker = view.worker(index);
        const auto& labels = worker.facts->labels;
        const bool may_run = worker.schedulable && !worker.isolated && !worker.occupied &&
                             worker.facts->service == *unit.service &&
                             (label.empty() || std::ranges::find(labels, label) != labels.end()) &&
                             std::ranges::find(held_for_others, index) == held_for_others.end();
        if (may_run && internal::slots_on(unit, worker.free, index) > 0) {
            idle.push_back(index);
        }
    }
    std::ranges::stable_sort(idle, {}, [&](std::size_t index) {
        const auto& worker = view.worker(index);
        return std::tuple{worker.suspicion, internal::is_remote(unit, worker.facts->rack),
                          -internal::slots_on(unit, worker.free, index)};
    });
    return idle;
}

/// All tasks of a gang, or as many others as fit, on the first of the idle workers.
std::vector<assignment> place_on_first(const work_unit& unit, std::span<const std::size_t> idle,
                                       std::size_t most, const capacity_view& view)
{
    auto placed = internal::assign_in_order(unit, idle.first(std::min(most, idle.size())), view,
                                            capacity_kind::free);
    if (unit.spec->gang && placed.size() < unit.tasks.size()) {
        return {};
    }
    return placed;
}

/// Workers that may be closed to others beyond those that are.
std::size_t left_to_close(const work_unit& unit, const capacity_view& view)
{
    std::size_t workers = 0;
    std::size_t closed = 0;
    for (const auto& worker : view.workers()) {
        if (worker.schedulable && worker.facts->service == *unit.service) {
            ++workers;
            closed += worker.isolated ? 1 : 0;
        }
    }
    const auto most = takes_any_free_capacity(unit)
                          ? workers - std::max<std::size_t>(workers / workers_per_open_worker, 1)
                          : workers / workers_per_closed_worker;
    return most > closed ? std::min(most - closed, isolation_limit(workers)) : 0;
}

} // namespace

std::vector<assignment> place_beyond_limit(const work_unit& unit,
                                           std::span<const std::size_t> held_for_others,
                                           const capacity_view& view)
{
    const auto most = left_to_close(unit, view);
    const auto idle = idle_workers(unit, held_for_others, view);
    if (!unit.spec->gang) {
        return place_on_first(unit, idle, most, view);
    }
    std::map<std::string_view, std::vector<std::size_t>> racks;
    for (const auto index : idle) {
        racks[view.worker(index).facts->rack].push_back(index);
    }
    for (const auto& [rack, members] : racks) {
        if (auto placed = place_on_first(unit, members, most, view); !placed.empty()) {
            return placed;
        }
    }
    if (unit.spec->one_rack && !no_longer_waits_for_a_rack(unit) &&
        !takes_any_free_capacity(unit)) {
        return {};
    }
    return place_on_first(unit, idle, most, view);
}

bool is_no_longer_passed(const work_unit& unit)
{
    return unit.waited >= longest_wait_while_passed;
}

} // namespace poplarstile::planning
