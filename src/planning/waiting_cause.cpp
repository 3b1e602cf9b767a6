#include "planning/waiting_cause.hpp"

#include "planning/placement.hpp"
#include "planning/progress.hpp"

#include <algorithm>
#include <array>
#include <map>

namespace poplarstile::planning
{
namespace
{

/// Slots for one unit, by what is disregarded.
struct slot_counts {
    /// As the unit may use them now.
    std::int64_t open = 0;
    /// Without what is held for urgent work.
    std::int64_t without_urgent_hold = 0;
    /// Without what is held for isolated work.
    std::int64_t without_isolation = 0;
    std::int64_t if_not_held = 0;
    /// If nothing ran there.
    std::int64_t if_empty = 0;

    void add(const slot_counts& other)
    {
        open += other.open;
        without_urgent_hold += other.without_urgent_hold;
        without_isolation += other.without_isolation;
        if_not_held += other.if_not_held;
        if_empty += other.if_empty;
    }
    void raise_to(const slot_counts& other)
    {
        open = std::max(open, other.open);
        without_urgent_hold = std::max(without_urgent_hold, other.without_urgent_hold);
        without_isolation = std::max(without_isolation, other.without_isolation);
        if_not_held = std::max(if_not_held, other.if_not_held);
        if_empty = std::max(if_empty, other.if_empty);
    }
};

/// Slots on the workers that could run the unit.
struct unit_slots {
    slot_counts best_rack{};
    slot_counts all{};
    /// On the workers that are held for the unit, as far as they are idle.
    std::int64_t claimed_idle = 0;
};

bool could_run(const work_unit& unit, const fleet::worker_facts& facts)
{
    const auto& label = unit.spec->required_label;
    return facts.service == *unit.service &&
           (label.empty() || std::ranges::find(facts.labels, label) != facts.labels.end());
}

bool may_use_urgent_hold(const work_unit& unit)
{
    return unit.rank.priority == urgent_priority && !unit.rank.overdue;
}

/// Slots on one usable worker for a unit that is placed next to others.
slot_counts slots_beside_others(const waiting_view& view, const work_unit& unit, std::size_t index)
{
    const auto& worker = view.workers[index];
    const auto all = internal::slots_on(unit, worker.free, index);
    const auto beside_hold =
        may_use_urgent_hold(unit)
            ? all
            : internal::slots_on(unit, worker.free - worker.held_for_urgent, index);
    const bool held = view.held_for[index] < view.units.size() && !unit.guaranteed;
    const bool closed = worker.isolated || held;
    return {closed ? 0 : beside_hold, closed ? 0 : all, beside_hold, all,
            internal::slots_on(unit, worker.facts->capacity, index)};
}

/// The same for a unit that needs idle workers.
slot_counts slots_apart(const waiting_view& view, std::size_t unit_index, std::size_t index)
{
    const auto& unit = view.units[unit_index];
    const auto& worker = view.workers[index];
    const auto all = internal::slots_on(unit, worker.free, index);
    const auto holder = view.held_for[index];
    const bool others = holder < view.units.size() && holder != unit_index;
    const auto idle = worker.occupied || worker.isolated ? 0 : all;
    return {others ? 0 : idle, others ? 0 : idle, idle, all,
            internal::slots_on(unit, worker.facts->capacity, index)};
}

unit_slots count_slots(const waiting_view& view, std::size_t unit_index, waiting_reason& reason)
{
    const auto& unit = view.units[unit_index];
    const bool isolated = view.isolation.isolated[unit_index];
    unit_slots counted;
    std::map<std::string_view, slot_counts> racks;
    for (std::size_t index = 0; index < view.workers.size(); ++index) {
        const auto& worker = view.workers[index];
        if (!could_run(unit, *worker.facts)) {
            continue;
        }
        if (!worker.schedulable) {
            ++reason.unusable_workers.at(static_cast<std::size_t>(worker.unusable));
            reason.slots_on_unusable += internal::slots_on(unit, worker.free, index);
            continue;
        }
        ++reason.usable_workers;
        const auto slots = isolated ? slots_apart(view, unit_index, index)
                                    : slots_beside_others(view, unit, index);
        racks[worker.facts->rack].add(slots);
        if (isolated && view.held_for[index] == unit_index) {
            counted.claimed_idle += slots.open;
        }
    }
    for (const auto& [name, slots] : racks) {
        counted.all.add(slots);
        counted.best_rack.raise_to(slots);
    }
    return counted;
}

/// The slots without which nothing of the unit starts.
std::int64_t needed_slots(const work_unit& unit)
{
    return unit.spec->gang ? static_cast<std::int64_t>(unit.tasks.size()) : 1;
}

waiting_cause cause_with_room(const waiting_view& view)
{
    return view.starts_held_back ? waiting_cause::too_many_starts : waiting_cause::room_left;
}

waiting_cause cause_of_none(const waiting_reason& reason, std::int64_t needed)
{
    return reason.slots_on_unusable > 0 &&
                   reason.slots_if_not_held + reason.slots_on_unusable >= needed
               ? waiting_cause::workers_unusable
               : waiting_cause::no_room;
}

waiting_cause cause_apart(const waiting_view& view, std::size_t unit_index, const unit_slots& slots,
                          const waiting_reason& reason)
{
    const auto& unit = view.units[unit_index];
    const auto needed = needed_slots(unit);
    if (slots.claimed_idle >= needed) {
        return cause_with_room(view);
    }
    const bool claimed = std::ranges::find(view.held_for, unit_index) != view.held_for.end();
    if (slots.all.open >= needed) {
        const bool wants_rack = unit.spec->gang && unit.spec->one_rack;
        return !claimed     ? waiting_cause::isolation_limit
               : wants_rack ? waiting_cause::no_room_in_one_rack
                            : waiting_cause::no_idle_worker;
    }
    if (slots.all.without_isolation >= needed) {
        return waiting_cause::held_for_isolated_work;
    }
    return slots.all.if_empty >= needed ? waiting_cause::no_idle_worker
                                        : cause_of_none(reason, needed);
}

waiting_cause cause_beside_others(const waiting_view& view, const work_unit& unit,
                                  const unit_slots& slots, const waiting_reason& reason)
{
    const auto needed = needed_slots(unit);
    // As the planner places gangs: those that no rack could hold go across racks.
    const bool wants_rack = unit.spec->gang && unit.spec->one_rack &&
                            !no_longer_waits_for_a_rack(unit) && slots.best_rack.if_empty >= needed;
    const auto& counts = wants_rack ? slots.best_rack : slots.all;
    if (counts.open >= needed) {
        return cause_with_room(view);
    }
    if (counts.without_isolation >= needed) {
        return waiting_cause::held_for_isolated_work;
    }
    if (counts.without_urgent_hold >= needed) {
        return waiting_cause::held_for_urgent_work;
    }
    if (counts.if_not_held >= needed) {
        return waiting_cause::held_for_isolated_work;
    }
    if (wants_rack && slots.all.if_not_held >= needed) {
        return waiting_cause::no_room_in_one_rack;
    }
    return cause_of_none(reason, needed);
}

} // namespace

std::string_view name_of(waiting_cause cause)
{
    static constexpr std::array<std::string_view, waiting_cause_count> names{
        "no_room",         "no_room_in_one_rack", "held_for_isolated_work",
        "isolation_limit", "no_idle_worker",      "held_for_urgent_work",
        "too_many_starts", "workers_unusable",    "part_not_read",
        "room_left"};
    return names.at(static_cast<std::size_t>(cause));
}

waiting_view view_waiting(std::span<const work_unit> units,
                          std::span<const worker_candidate> workers, bool starts_held_back)
{
    waiting_view view{units, workers, {}, {}, starts_held_back};
    capacity_view capacity{{workers.begin(), workers.end()}};
    view.isolation = plan_isolation(units, capacity);
    view.held_for.assign(workers.size(), units.size());
    for (const auto& held : view.isolation.held) {
        for (const auto worker : held.workers) {
            view.held_for[worker] = held.unit;
        }
    }
    return view;
}

waiting_reason why_waiting(const waiting_view& view, std::size_t unit)
{
    waiting_reason reason;
    const auto slots = count_slots(view, unit, reason);
    reason.slots_in_best_rack = slots.best_rack.open;
    reason.slots_in_all_racks = slots.all.open;
    reason.slots_if_not_held = slots.all.if_not_held;
    reason.cause = view.isolation.isolated[unit]
                       ? cause_apart(view, unit, slots, reason)
                       : cause_beside_others(view, view.units[unit], slots, reason);
    return reason;
}

} // namespace poplarstile::planning
