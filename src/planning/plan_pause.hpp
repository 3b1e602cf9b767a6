#pragma once

#include "base/time.hpp"

namespace poplarstile::planning
{

/// Time between the end of a plan and the start of the next, so that polls and orders get their
/// share of the processor of the leader. Load pattern: hundreds of workers and waiting units on a
/// VM with a fraction of a core. The pause is bounded, because the time of a plan during which the
/// VM was suspended does not predict the time of the next.
[[nodiscard]] base::milliseconds pause_after_plan(base::milliseconds plan_took);

} // namespace poplarstile::planning
