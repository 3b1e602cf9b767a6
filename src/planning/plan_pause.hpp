#pragma once

#include "base/time.hpp"

namespace poplarstile::planning
{

/// How long a leader rests after a plan, so that looks and orders get their share of its processor.
/// Load pattern: hundreds of workers and waiting units on a VM with a part of a core. A plan during
/// which the VM stood still says nothing of the next one, so the rest is bounded.
[[nodiscard]] base::milliseconds pause_after_plan(base::milliseconds plan_took);

} // namespace poplarstile::planning
