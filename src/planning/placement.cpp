#include "planning/placement.hpp"

#include <algorithm>
#include <map>
#include <numeric>
#include <string_view>
#include <tuple>

namespace poplarstile::planning
{
namespace
{

using rack_members = std::map<std::string_view, std::vector<std::size_t>>;

const batch::resources& room_of(const worker_room& worker, room_kind kind)
{
    return kind == room_kind::free ? worker.free : worker.coming;
}

rack_members racks_for(const work_unit& unit, std::span<const worker_room> workers)
{
    rack_members racks;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (may_run(unit, workers[index])) {
            racks[workers[index].facts->rack].push_back(index);
        }
    }
    return racks;
}

/// Fullest workers first, so that whole workers stay free for large tasks.
void sort_fullest_first(std::vector<std::size_t>& members, std::span<const worker_room> workers,
                        room_kind kind)
{
    std::ranges::stable_sort(members, {}, [&](std::size_t index) {
        const auto& worker = workers[index];
        const auto& room = room_of(worker, kind);
        return std::tuple{worker.suspicion, room.accelerators, room.cpu_milli};
    });
}

/// Fills the members in order; nothing when not all tasks fit.
std::optional<std::vector<assignment>> fill(const work_unit& unit,
                                            std::span<const std::size_t> members,
                                            std::span<const worker_room> workers, room_kind kind)
{
    std::vector<assignment> placed;
    placed.reserve(unit.tasks.size());
    auto next = unit.tasks.begin();
    for (const auto index : members) {
        auto slots = internal::slots_on(unit, workers[index], room_of(workers[index], kind), index);
        for (; slots > 0 && next != unit.tasks.end(); --slots) {
            placed.push_back({*next, index});
            ++next;
        }
    }
    if (next != unit.tasks.end()) {
        return std::nullopt;
    }
    return placed;
}

std::int64_t slots_of_all(const work_unit& unit, std::span<const std::size_t> members,
                          std::span<const worker_room> workers, room_kind kind)
{
    std::int64_t slots = 0;
    for (const auto index : members) {
        slots += internal::slots_on(unit, workers[index], room_of(workers[index], kind), index);
    }
    return slots;
}

std::optional<std::vector<assignment>>
place_in_one_rack(const work_unit& unit, std::span<const worker_room> workers, room_kind kind)
{
    auto racks = racks_for(unit, workers);
    std::optional<std::vector<assignment>> best;
    // The data's rack first, then the rack that is left with the fewest slots.
    std::tuple<bool, std::int64_t> best_score{};
    for (auto& [rack, members] : racks) {
        const auto slots = slots_of_all(unit, members, workers, kind);
        if (slots < static_cast<std::int64_t>(unit.tasks.size())) {
            continue;
        }
        const bool away = !unit.spec->data_rack.empty() && unit.spec->data_rack != rack;
        const std::tuple score{away, slots};
        if (!best || score < best_score) {
            sort_fullest_first(members, workers, kind);
            best = fill(unit, members, workers, kind);
            best_score = score;
        }
    }
    return best;
}

std::optional<std::vector<assignment>>
place_anywhere(const work_unit& unit, std::span<const worker_room> workers, room_kind kind)
{
    std::vector<std::size_t> members;
    for (const auto& [rack, indexes] : racks_for(unit, workers)) {
        members.insert(members.end(), indexes.begin(), indexes.end());
    }
    sort_fullest_first(members, workers, kind);
    if (!unit.spec->data_rack.empty()) {
        std::stable_partition(members.begin(), members.end(), [&](std::size_t index) {
            return workers[index].facts->rack == unit.spec->data_rack;
        });
    }
    return fill(unit, members, workers, kind);
}

} // namespace

bool may_run(const work_unit& unit, const worker_room& worker)
{
    const auto& facts = *worker.facts;
    if (!worker.open || facts.service != *unit.service || !unit.spec->need.fits(facts.capacity)) {
        return false;
    }
    const auto& label = unit.spec->required_label;
    return label.empty() || std::ranges::find(facts.labels, label) != facts.labels.end();
}

namespace internal
{

std::int64_t slots_on(const work_unit& unit, const worker_room& worker,
                      const batch::resources& room, std::size_t index)
{
    auto slots = unit.spec->need.times_in(room);
    if (unit.spec->max_per_worker > 0) {
        const auto found =
            std::ranges::find(unit.present, index, [](const auto& entry) { return entry.first; });
        const std::int64_t present = found == unit.present.end() ? 0 : found->second;
        slots = std::min(slots, std::int64_t{unit.spec->max_per_worker} - present);
    }
    (void)worker;
    return std::max<std::int64_t>(slots, 0);
}

bool some_rack_holds(const work_unit& unit, std::span<const worker_room> workers)
{
    std::map<std::string_view, std::int64_t> slots;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (may_run(unit, workers[index])) {
            auto& sum = slots[workers[index].facts->rack];
            sum += slots_on(unit, workers[index], workers[index].facts->capacity, index);
            if (sum >= static_cast<std::int64_t>(unit.tasks.size())) {
                return true;
            }
        }
    }
    return false;
}

} // namespace internal

std::optional<std::vector<assignment>>
place_whole(const work_unit& unit, std::span<const worker_room> workers, room_kind kind)
{
    auto placed = place_in_one_rack(unit, workers, kind);
    if (placed) {
        return placed;
    }
    if (unit.spec->one_rack && internal::some_rack_holds(unit, workers)) {
        return std::nullopt;
    }
    return place_anywhere(unit, workers, kind);
}

std::vector<assignment> place_each(const work_unit& unit, std::span<const worker_room> workers,
                                   room_kind kind, bool away_from_data)
{
    std::vector<std::size_t> members;
    for (const auto& [rack, indexes] : racks_for(unit, workers)) {
        const bool near = unit.spec->data_rack.empty() || unit.spec->data_rack == rack;
        if (near != away_from_data) {
            members.insert(members.end(), indexes.begin(), indexes.end());
        }
    }
    sort_fullest_first(members, workers, kind);
    std::vector<assignment> placed;
    auto next = unit.tasks.begin();
    for (const auto index : members) {
        auto slots = internal::slots_on(unit, workers[index], room_of(workers[index], kind), index);
        for (; slots > 0 && next != unit.tasks.end(); --slots) {
            placed.push_back({*next, index});
            ++next;
        }
    }
    return placed;
}

void take_room(const work_unit& unit, std::span<const assignment> tasks,
               std::span<worker_room> workers)
{
    for (const auto& placed : tasks) {
        workers[placed.worker].free -= unit.spec->need;
        workers[placed.worker].coming -= unit.spec->need;
    }
}

} // namespace poplarstile::planning
