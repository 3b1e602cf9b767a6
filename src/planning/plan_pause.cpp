#include "planning/plan_pause.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

/// Changes that arrive within the pause are collected for the next plan.
constexpr base::milliseconds min_pause{8};
/// Limits how long urgent work waits for the next plan.
constexpr base::milliseconds max_pause{150};
/// Pause as a multiple of the time of the plan; a plan takes at most 1 / (factor + 1) of the time
/// of the leader, as long as the pause is below its maximum.
constexpr int pause_factor = 3;

} // namespace

base::milliseconds pause_after_plan(base::milliseconds plan_took)
{
    return std::clamp(plan_took * pause_factor, min_pause, max_pause);
}

} // namespace poplarstile::planning
