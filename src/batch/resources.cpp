#include "batch/resources.hpp"

#include <algorithm>
#include <limits>

namespace poplarstile::batch
{
namespace
{

constexpr double milli = 1'000.0;

std::int64_t times(std::int64_t need, std::int64_t room)
{
    if (need <= 0) {
        return std::numeric_limits<std::int32_t>::max();
    }
    return std::max<std::int64_t>(room, 0) / need;
}

} // namespace

std::int64_t resources::times_in(const resources& room) const
{
    return std::min({times(cpu_milli, room.cpu_milli), times(memory_mb, room.memory_mb),
                     times(accelerators, room.accelerators)});
}

double core_weight(const resources& need)
{
    return static_cast<double>(need.cpu_milli) / milli +
           static_cast<double>(need.accelerators * cores_per_accelerator);
}

} // namespace poplarstile::batch
