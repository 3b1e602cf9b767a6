#pragma once

#include "planning/isolation.hpp"
#include "planning/plan_types.hpp"
#include "planning/unusable_reason.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

/// What keeps waiting work from being placed, for logs and metrics. Nothing is decided by it.
namespace poplarstile::planning
{

enum class waiting_cause : std::uint8_t {
    /// The usable workers have too little capacity left, held or not.
    no_room,
    /// A gang that requires one rack: all racks together would hold it.
    no_room_in_one_rack,
    /// There is room, next to isolated work or on workers that are held for such work.
    held_for_isolated_work,
    /// Isolated work: there are enough idle workers, and as many as may be are kept for others.
    isolation_limit,
    /// Isolated work: too few workers are idle.
    no_idle_worker,
    held_for_urgent_work,
    /// There is room, but enough starts are under way.
    too_many_starts,
    /// There would be room on workers that may not be used now.
    workers_unusable,
    /// A part of the store that has the job, or may have another row of it, can't be read.
    part_not_read,
    /// There is room: it is reserved for other waiting work, or the next plan uses it.
    room_left,
};

inline constexpr std::size_t waiting_cause_count = 10;

/// Name in logs and metrics.
[[nodiscard]] std::string_view name_of(waiting_cause cause);

/// The cause and what it was told from. Slots are tasks of the unit that the workers could take.
struct waiting_reason {
    waiting_cause cause = waiting_cause::no_room;
    std::int64_t slots_in_best_rack = 0;
    std::int64_t slots_in_all_racks = 0;
    /// On all usable workers, if nothing were held and no work kept apart.
    std::int64_t slots_if_not_held = 0;
    std::int64_t slots_on_unusable = 0;
    std::size_t usable_workers = 0;
    /// Workers that could run the unit otherwise.
    unusable_counts unusable_workers{};
};

/// The state that units wait in.
struct waiting_view {
    std::span<const work_unit> units{};
    std::span<const worker_candidate> workers{};
    isolation_plan isolation{};
    /// By worker: the unit that it is held for, or the number of units.
    std::vector<std::size_t> held_for{};
    /// The last plan left out work because too many starts were under way.
    bool starts_held_back = false;
};

/// `units` and `workers` must outlive the view.
[[nodiscard]] waiting_view view_waiting(std::span<const work_unit> units,
                                        std::span<const worker_candidate> workers,
                                        bool starts_held_back);

/// Tells what keeps a unit of the view.
[[nodiscard]] waiting_reason why_waiting(const waiting_view& view, std::size_t unit);

} // namespace poplarstile::planning
