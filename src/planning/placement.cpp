#include "planning/placement.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace poplarstile::planning
{
namespace
{

const batch::resources& capacity_of(const worker_candidate& worker, capacity_kind kind)
{
    return kind == capacity_kind::free ? worker.free : worker.free_after_stops;
}

std::int64_t total_slots(const work_unit& unit, std::span<const std::size_t> members,
                         const capacity_view& view, capacity_kind kind)
{
    std::int64_t slots = 0;
    for (const auto index : members) {
        slots += internal::slots_on(unit, capacity_of(view.worker(index), kind), index);
    }
    return slots;
}

/// Slots on workers that are fast enough for the unit.
std::int64_t fast_slots(const work_unit& unit, std::span<const std::size_t> members,
                        const capacity_view& view, capacity_kind kind)
{
    std::int64_t slots = 0;
    for (const auto index : members) {
        const auto& worker = view.worker(index);
        if (!is_too_slow(unit.pace, worker.speed, worker.cold_left)) {
            slots += internal::slots_on(unit, capacity_of(worker, kind), index);
        }
    }
    return slots;
}

/// Members with capacity for a task: those that are fast enough first, of which bulk work prefers
/// the slow ones. Of these the fullest first, so that whole workers stay free for large tasks.
std::vector<std::size_t> fullest_first(const work_unit& unit, std::span<const std::size_t> members,
                                       const capacity_view& view, capacity_kind kind)
{
    std::vector<std::size_t> eligible;
    std::ranges::copy_if(members, std::back_inserter(eligible), [&](std::size_t index) {
        return internal::slots_on(unit, capacity_of(view.worker(index), kind), index) > 0;
    });
    std::ranges::stable_sort(eligible, {}, [&](std::size_t index) {
        const auto& worker = view.worker(index);
        const auto& capacity = capacity_of(worker, kind);
        return std::tuple{worker.suspicion, speed_rank(unit.pace, worker.speed, worker.cold_left),
                          capacity.accelerators, yields_to_fast(unit.pace, worker.speed),
                          capacity.cpu_milli};
    });
    return eligible;
}

std::optional<std::vector<assignment>> place_in_one_rack(const work_unit& unit, capacity_view& view,
                                                         capacity_kind kind)
{
    const rack_members* best = nullptr;
    // Prefers the rack of the data, then one that holds the unit on workers that are fast enough,
    // then the rack that is left with the fewest slots.
    std::tuple<bool, bool, std::int64_t> best_score{};
    for (const auto& rack : view.racks_for(unit)) {
        const auto slots = total_slots(unit, rack.workers, view, kind);
        if (slots < static_cast<std::int64_t>(unit.tasks.size())) {
            continue;
        }
        const bool remote = internal::is_remote(unit, rack.rack);
        const bool needs_slow =
            unit.pace.least > 0.0 && fast_slots(unit, rack.workers, view, kind) <
                                         static_cast<std::int64_t>(unit.tasks.size());
        const std::tuple score{remote, needs_slow, slots};
        if (best == nullptr || score < best_score) {
            best = &rack;
            best_score = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return internal::assign_in_order(unit, fullest_first(unit, best->workers, view, kind), view,
                                     kind);
}

bool uses_slow_worker(const work_unit& unit, std::span<const assignment> tasks,
                      const capacity_view& view)
{
    return unit.pace.least > 0.0 && std::ranges::any_of(tasks, [&](const assignment& placed) {
               const auto& worker = view.worker(placed.worker);
               return is_too_slow(unit.pace, worker.speed, worker.cold_left);
           });
}

} // namespace

namespace internal
{

std::int64_t slots_on(const work_unit& unit, const batch::resources& capacity, std::size_t worker)
{
    auto slots = unit.spec->need.fit_count(capacity);
    if (unit.spec->max_per_worker > 0) {
        const auto found =
            std::ranges::find(unit.present, worker, [](const auto& entry) { return entry.first; });
        const std::int64_t present = found == unit.present.end() ? 0 : found->second;
        slots = std::min(slots, std::int64_t{unit.spec->max_per_worker} - present);
    }
    return std::max<std::int64_t>(slots, 0);
}

std::vector<assignment> assign_in_order(const work_unit& unit, std::span<const std::size_t> members,
                                        const capacity_view& view, capacity_kind kind)
{
    std::vector<assignment> placed;
    placed.reserve(unit.tasks.size());
    auto next = unit.tasks.begin();
    for (const auto index : members) {
        auto slots = slots_on(unit, capacity_of(view.worker(index), kind), index);
        for (; slots > 0 && next != unit.tasks.end(); --slots) {
            placed.push_back({*next, index});
            ++next;
        }
    }
    return placed;
}

bool is_remote(const work_unit& unit, std::string_view rack)
{
    return !unit.spec->data_rack.empty() && unit.spec->data_rack != rack;
}

bool some_rack_can_hold(const work_unit& unit, capacity_view& view)
{
    const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
    return std::ranges::any_of(view.racks_for(unit), [&](const rack_members& rack) {
        std::int64_t slots = 0;
        for (const auto index : rack.workers) {
            slots += slots_on(unit, view.worker(index).facts->capacity, index);
        }
        return slots >= tasks;
    });
}

} // namespace internal

std::optional<std::vector<assignment>> place_across_racks(const work_unit& unit,
                                                          capacity_view& view, capacity_kind kind)
{
    std::vector<std::size_t> members;
    for (const auto& rack : view.racks_for(unit)) {
        members.insert(members.end(), rack.workers.begin(), rack.workers.end());
    }
    if (total_slots(unit, members, view, kind) < static_cast<std::int64_t>(unit.tasks.size())) {
        return std::nullopt;
    }
    members = fullest_first(unit, members, view, kind);
    if (!unit.spec->data_rack.empty()) {
        std::stable_partition(members.begin(), members.end(), [&](std::size_t index) {
            return view.worker(index).facts->rack == unit.spec->data_rack;
        });
    }
    return internal::assign_in_order(unit, members, view, kind);
}

std::optional<std::vector<assignment>> place_all(const work_unit& unit, capacity_view& view,
                                                 capacity_kind kind)
{
    auto placed = place_in_one_rack(unit, view, kind);
    const bool slower_across_racks = unit.spec->one_rack || !unit.spec->data_rack.empty();
    if (placed && !slower_across_racks && uses_slow_worker(unit, *placed, view)) {
        auto spread = place_across_racks(unit, view, kind);
        if (spread && !uses_slow_worker(unit, *spread, view)) {
            return spread;
        }
    }
    if (placed) {
        return placed;
    }
    if (unit.spec->one_rack && internal::some_rack_can_hold(unit, view)) {
        return std::nullopt;
    }
    return place_across_racks(unit, view, kind);
}

std::vector<assignment> place_individually(const work_unit& unit, capacity_view& view,
                                           capacity_kind kind, data_locality side)
{
    std::vector<std::size_t> members;
    for (const auto& rack : view.racks_for(unit)) {
        const bool local = !internal::is_remote(unit, rack.rack);
        if (local == (side == data_locality::local)) {
            members.insert(members.end(), rack.workers.begin(), rack.workers.end());
        }
    }
    return internal::assign_in_order(unit, fullest_first(unit, members, view, kind), view, kind);
}

} // namespace poplarstile::planning
