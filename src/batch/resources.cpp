#include "batch/resources.hpp"

#include <algorithm>
#include <limits>

namespace poplarstile::batch
{
namespace
{

constexpr double milli_per_core = 1'000.0;

std::int64_t fit_count_of_one(std::int64_t need, std::int64_t available)
{
    if (available < 0) {
        return 0;
    }
    if (need <= 0) {
        return std::numeric_limits<std::int32_t>::max();
    }
    return available / need;
}

} // namespace

std::int64_t resources::fit_count(const resources& capacity) const
{
    return std::min({fit_count_of_one(cpu_milli, capacity.cpu_milli),
                     fit_count_of_one(memory_mb, capacity.memory_mb),
                     fit_count_of_one(accelerators, capacity.accelerators)});
}

double core_weight(const resources& need)
{
    return static_cast<double>(need.cpu_milli) / milli_per_core +
           static_cast<double>(need.accelerators * cores_per_accelerator);
}

} // namespace poplarstile::batch
