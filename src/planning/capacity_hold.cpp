#include "planning/capacity_hold.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

/// Several urgent jobs arrive within this time under load; without load, capacity is idle that much
/// longer.
constexpr base::milliseconds hold_time{1'000};

batch::resources common_part(const batch::resources& one, const batch::resources& other)
{
    return {std::min(one.cpu_milli, other.cpu_milli), std::min(one.memory_mb, other.memory_mb),
            std::min(one.accelerators, other.accelerators)};
}

} // namespace

void capacity_hold::add(const batch::resources& left, base::time_point now)
{
    entries_.push_back({left, now + hold_time});
}

void capacity_hold::take(batch::resources need)
{
    for (auto& kept : entries_) {
        const auto taken = common_part(kept.left, need);
        kept.left -= taken;
        need -= taken;
    }
    std::erase_if(entries_, [](const entry& one) { return one.left == batch::resources{}; });
}

batch::resources capacity_hold::held(base::time_point now)
{
    std::erase_if(entries_, [now](const entry& held) { return held.until <= now; });
    batch::resources sum;
    for (const auto& kept : entries_) {
        sum += kept.left;
    }
    return sum;
}

} // namespace poplarstile::planning
