#include "planning/placement.hpp"

#include <algorithm>
#include <string_view>
#include <tuple>

namespace poplarstile::planning
{
namespace
{

const batch::resources& room_of(const worker_candidate& worker, room_kind kind)
{
    return kind == room_kind::free ? worker.free : worker.free_after_stops;
}

std::int64_t slots_of_all(const work_unit& unit, std::span<const std::size_t> members,
                          const site_view& site, room_kind kind)
{
    std::int64_t slots = 0;
    for (const auto index : members) {
        slots += internal::slots_on(unit, room_of(site.worker(index), kind), index);
    }
    return slots;
}

/// Members with room for a task, fullest first, so that whole workers stay free for large tasks.
std::vector<std::size_t> fullest_first(const work_unit& unit, std::span<const std::size_t> members,
                                       const site_view& site, room_kind kind)
{
    std::vector<std::size_t> able;
    std::ranges::copy_if(members, std::back_inserter(able), [&](std::size_t index) {
        return internal::slots_on(unit, room_of(site.worker(index), kind), index) > 0;
    });
    std::ranges::stable_sort(able, {}, [&](std::size_t index) {
        const auto& worker = site.worker(index);
        const auto& room = room_of(worker, kind);
        return std::tuple{worker.suspicion, room.accelerators, room.cpu_milli};
    });
    return able;
}

/// Fills the members in order with as many tasks as fit.
std::vector<assignment> fill(const work_unit& unit, std::span<const std::size_t> members,
                             const site_view& site, room_kind kind)
{
    std::vector<assignment> placed;
    placed.reserve(unit.tasks.size());
    auto next = unit.tasks.begin();
    for (const auto index : members) {
        auto slots = internal::slots_on(unit, room_of(site.worker(index), kind), index);
        for (; slots > 0 && next != unit.tasks.end(); --slots) {
            placed.push_back({*next, index});
            ++next;
        }
    }
    return placed;
}

std::optional<std::vector<assignment>> place_in_one_rack(const work_unit& unit, site_view& site,
                                                         room_kind kind)
{
    const rack_members* best = nullptr;
    // The data's rack first, then the rack that is left with the fewest slots.
    std::tuple<bool, std::int64_t> best_score{};
    for (const auto& rack : site.racks_for(unit)) {
        const auto slots = slots_of_all(unit, rack.workers, site, kind);
        if (slots < static_cast<std::int64_t>(unit.tasks.size())) {
            continue;
        }
        const bool away = !unit.spec->data_rack.empty() && unit.spec->data_rack != rack.rack;
        const std::tuple score{away, slots};
        if (best == nullptr || score < best_score) {
            best = &rack;
            best_score = score;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return fill(unit, fullest_first(unit, best->workers, site, kind), site, kind);
}

} // namespace

namespace internal
{

std::int64_t slots_on(const work_unit& unit, const batch::resources& room, std::size_t worker)
{
    auto slots = unit.spec->need.fit_count(room);
    if (unit.spec->max_per_worker > 0) {
        const auto found =
            std::ranges::find(unit.present, worker, [](const auto& entry) { return entry.first; });
        const std::int64_t present = found == unit.present.end() ? 0 : found->second;
        slots = std::min(slots, std::int64_t{unit.spec->max_per_worker} - present);
    }
    return std::max<std::int64_t>(slots, 0);
}

bool some_rack_holds(const work_unit& unit, site_view& site)
{
    const auto tasks = static_cast<std::int64_t>(unit.tasks.size());
    return std::ranges::any_of(site.racks_for(unit), [&](const rack_members& rack) {
        std::int64_t slots = 0;
        for (const auto index : rack.workers) {
            slots += slots_on(unit, site.worker(index).facts->capacity, index);
        }
        return slots >= tasks;
    });
}

} // namespace internal

std::optional<std::vector<assignment>> place_scattered(const work_unit& unit, site_view& site,
                                                       room_kind kind)
{
    std::vector<std::size_t> members;
    for (const auto& rack : site.racks_for(unit)) {
        members.insert(members.end(), rack.workers.begin(), rack.workers.end());
    }
    if (slots_of_all(unit, members, site, kind) < static_cast<std::int64_t>(unit.tasks.size())) {
        return std::nullopt;
    }
    members = fullest_first(unit, members, site, kind);
    if (!unit.spec->data_rack.empty()) {
        std::stable_partition(members.begin(), members.end(), [&](std::size_t index) {
            return site.worker(index).facts->rack == unit.spec->data_rack;
        });
    }
    return fill(unit, members, site, kind);
}

std::optional<std::vector<assignment>> place_whole(const work_unit& unit, site_view& site,
                                                   room_kind kind)
{
    auto placed = place_in_one_rack(unit, site, kind);
    if (placed) {
        return placed;
    }
    if (unit.spec->one_rack && internal::some_rack_holds(unit, site)) {
        return std::nullopt;
    }
    return place_scattered(unit, site, kind);
}

std::vector<assignment> place_each(const work_unit& unit, site_view& site, room_kind kind,
                                   data_side side)
{
    std::vector<std::size_t> members;
    for (const auto& rack : site.racks_for(unit)) {
        const bool near = unit.spec->data_rack.empty() || unit.spec->data_rack == rack.rack;
        if (near == (side == data_side::near)) {
            members.insert(members.end(), rack.workers.begin(), rack.workers.end());
        }
    }
    return fill(unit, fullest_first(unit, members, site, kind), site, kind);
}

} // namespace poplarstile::planning
