#pragma once

#include "base/time.hpp"

#include <cstddef>

namespace poplarstile::control
{

/// Interval of the heartbeats to a VM that has nothing to be told.
constexpr base::milliseconds heartbeat_interval{300};

/// How long status changes are collected before they are sent to all VMs, so that the leader's
/// messages per second don't grow with the number of VMs times the rate at which jobs end. With
/// many VMs the changes travel in the heartbeats that are due anyway. Load pattern: several jobs
/// end each second at a leader of a hundred VMs.
[[nodiscard]] base::milliseconds heartbeat_batch_delay(std::size_t vms);

} // namespace poplarstile::control
