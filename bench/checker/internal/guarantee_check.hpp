#pragma once

#include "bench/checker/promises.hpp"

#include <vector>

namespace poplarstile::bench::checker::internal
{

/// Adds a violation for each job that fitted a guaranteed shape of its workspace, one that none of
/// the workspace's other jobs used during the reclaim time, and that did not start within it.
/// Conservative: each other job counts for as many whole shapes as it needs.
void check_guarantees(const history& seen, const promise_bounds& bounds,
                      std::vector<violation>& found);

} // namespace poplarstile::bench::checker::internal
