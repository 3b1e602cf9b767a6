#pragma once

#include "batch/job_spec.hpp"
#include "fleet/worker_facts.hpp"
#include "planning/ranking.hpp"
#include "planning/speed_need.hpp"
#include "planning/unusable_reason.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/// Planning of waiting work: in which order it is considered, where it is placed, and what is
/// preempted. Pure functions: all inputs are arguments, and the same arguments give the same plan.
namespace poplarstile::planning
{

/// A worker as a plan sees it. Plans refer to workers by their index in the list.
struct worker_candidate {
    const fleet::worker_facts* facts = nullptr;
    /// Capacity not taken by anything that may run there.
    batch::resources free{};
    /// `free` plus the capacity held by runs that are being stopped there.
    batch::resources free_after_stops{};
    /// Capacity that only urgent work gets, as far as it is free.
    batch::resources held_for_urgent{};
    /// False while no new work may be placed there.
    bool schedulable = true;
    /// Why not; `none` while `schedulable` is set.
    unusable_reason unusable = unusable_reason::none;
    /// Something runs or may run there.
    bool occupied = false;
    /// Holds work that does not end by itself.
    bool holds_lasting_work = false;
    /// Holds tasks of an isolated unit, next to which nothing is placed.
    bool isolated = false;
    /// Increases with the number of different jobs that failed there; 0 without failures.
    double suspicion = 0.0;
    /// How fast tasks run there, relative to other workers; 1 when it is not known.
    double speed = 1.0;
    /// For how long the worker is slower than that.
    base::milliseconds cold_left{0};
};

/// Tasks of one step that are placed together: a whole gang, or the waiting tasks of a step that
/// are placed one by one.
struct work_unit {
    const batch::step_spec* spec = nullptr;
    const std::string* service = nullptr;
    /// Indices in the step of the waiting tasks.
    std::vector<std::uint32_t> tasks{};
    /// Covered by its workspace's guarantee, which may preempt work that is not covered by one.
    bool guaranteed = false;
    /// Its tasks are suspected of crashing workers, and are placed where nothing else runs.
    bool isolated = false;
    /// Tasks of this occurrence that are already placed on a worker, as (worker, count).
    std::vector<std::pair<std::size_t, std::uint32_t>> present{};
    work_rank rank{};
    /// Core-seconds of the waiting tasks, by their estimate.
    double work = 0.0;
    /// How long the tasks have waited since they last ran, or could first have run.
    base::milliseconds waited{0};
    /// How the speed of workers matters to the unit.
    speed_need pace{};
};

/// Running work that may be preempted: one task, or all members of a gang.
struct victim {
    /// Resources held on one worker.
    struct holding {
        std::size_t worker = 0;
        batch::resources need{};
    };
    std::vector<holding> holdings{};
    std::uint32_t priority = 0;
    bool guaranteed = false;
    /// Core-seconds of work that are lost if it stops now.
    double loss = 0.0;
};

/// A task of a unit and the worker that it is placed on.
struct assignment {
    std::uint32_t task = 0;
    std::size_t worker = 0;
};

/// Placed tasks of one unit.
struct placed_unit {
    std::size_t unit = 0;
    std::vector<assignment> tasks{};
    /// Nothing else runs on the workers of the tasks.
    bool isolated = false;
};

/// Decisions of one plan.
struct plan {
    /// Units, or some of their tasks, to start now.
    std::vector<placed_unit> starts{};
    /// Indices of the victims to stop.
    std::vector<std::size_t> stops{};
    /// Indices of the units with reserved capacity that becomes free once stops are carried out.
    std::vector<std::size_t> reserved{};
};

} // namespace poplarstile::planning
