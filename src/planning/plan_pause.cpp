#include "planning/plan_pause.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

/// What changes between two plans goes into the next.
constexpr base::milliseconds shortest_rest{8};
/// Urgent work waits no longer than this for the next plan.
constexpr base::milliseconds longest_rest{150};
/// A plan takes at most one part in this many, and one, of the leader's time.
constexpr int rest_factor = 3;

} // namespace

base::milliseconds pause_after_plan(base::milliseconds plan_took)
{
    return std::clamp(plan_took * rest_factor, shortest_rest, longest_rest);
}

} // namespace poplarstile::planning
