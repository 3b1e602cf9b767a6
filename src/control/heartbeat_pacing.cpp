#include "control/heartbeat_pacing.hpp"

#include <algorithm>

namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds min_batch_delay{10};
/// Rate of messages up to which status changes are sent ahead of the next heartbeat.
constexpr std::size_t max_messages_per_s = 400;

} // namespace

base::milliseconds heartbeat_batch_delay(std::size_t vms)
{
    const base::milliseconds delay{vms * 1'000 / max_messages_per_s};
    return std::clamp(delay, min_batch_delay, heartbeat_interval);
}

} // namespace poplarstile::control
