#pragma once

#include "batch/job_spec.hpp"
#include "fleet/worker_facts.hpp"
#include "planning/ranking.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

/// Decisions about waiting work: in which order, where, and what gives way. Pure: everything that
/// counts is an argument, and the same arguments give the same plan.
namespace poplarstile::planning
{

/// A worker as a plan sees it. Plans name workers by their index in the list.
struct worker_candidate {
    const fleet::worker_facts* facts = nullptr;
    /// Not taken by anything that may run there.
    batch::resources free{};
    /// `free`, and what is being stopped there.
    batch::resources free_after_stops{};
    /// False while no new work may go there.
    bool schedulable = true;
    /// Rises with failures of different jobs there; 0 for a worker without any.
    double suspicion = 0.0;
};

/// Tasks of one step that are placed together: a whole gang, or the waiting tasks of a step that
/// are placed one by one.
struct work_unit {
    const batch::step_spec* spec = nullptr;
    const std::string* service = nullptr;
    /// Tasks that wait, by their index in the step.
    std::vector<std::uint32_t> tasks{};
    /// Within its workspace's guarantee, which may take room from all that is not.
    bool guaranteed = false;
    /// Tasks of this occurrence that are already on a worker, as (worker, count).
    std::vector<std::pair<std::size_t, std::uint32_t>> present{};
    work_rank rank{};
    /// Core-seconds of the waiting tasks by their estimate.
    double work = 0.0;
};

/// Running work that could give way: one task, or all members of a gang.
struct victim {
    struct holding {
        std::size_t worker = 0;
        batch::resources need{};
    };
    std::vector<holding> holdings{};
    std::uint32_t priority = 0;
    bool guaranteed = false;
    /// Core-seconds that are lost when it stops now.
    double loss = 0.0;
};

/// A task of a unit and where it goes.
struct assignment {
    std::uint32_t task = 0;
    std::size_t worker = 0;
};

struct placed_unit {
    std::size_t unit = 0;
    std::vector<assignment> tasks{};
};

struct plan {
    /// Units, or tasks of them, to start now.
    std::vector<placed_unit> starts{};
    /// Victims to stop, by index.
    std::vector<std::size_t> stops{};
    /// Units that wait for room which is coming free, by index.
    std::vector<std::size_t> reserved{};
};

} // namespace poplarstile::planning
