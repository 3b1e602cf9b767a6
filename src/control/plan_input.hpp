#pragma once

#include "control/worker_state.hpp"
#include "planning/plan_types.hpp"

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

/// Input of the planner, and the workers, steps and runs that its indexes refer to.
struct plan_input {
    std::vector<planning::worker_candidate> workers{};
    std::vector<std::string> worker_ids{};
    std::vector<planning::work_unit> units{};
    std::vector<unit_origin> origins{};
    std::vector<planning::victim> victims{};
    /// The runs of each victim, in the order of `victims`.
    std::vector<std::vector<run_key>> victim_runs{};
};

} // namespace poplarstile::control
