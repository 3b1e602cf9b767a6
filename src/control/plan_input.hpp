#pragma once

#include "control/worker_state.hpp"
#include "planning/plan_types.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace poplarstile::control
{

/// The step of a job that a work unit of a plan was made from.
struct unit_origin {
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
};

/// The tasks of a step that wait for a worker, and those that have one.
struct step_tasks {
    std::vector<std::uint32_t> waiting{};
    /// Waiting tasks that are placed where nothing else runs.
    std::vector<std::uint32_t> isolated{};
    /// Number of tasks that may be on a worker, by its position; only of a step with a limit.
    std::map<std::size_t, std::uint32_t> present{};
};

/// A run of a victim, on its worker.
struct victim_run {
    worker_state* worker = nullptr;
    live_run* run = nullptr;
};

/// Input of the planner, and the workers, steps and runs that its indexes refer to.
struct plan_input {
    std::vector<planning::worker_candidate> workers{};
    /// In the order of `workers`. Valid until the leader next removes a worker or a run.
    std::vector<worker_state*> worker_states{};
    std::vector<planning::work_unit> units{};
    std::vector<unit_origin> origins{};
    std::vector<planning::victim> victims{};
    /// The runs of each victim, in the order of `victims`; valid as `worker_states`.
    std::vector<std::vector<victim_run>> victim_runs{};
};

} // namespace poplarstile::control
