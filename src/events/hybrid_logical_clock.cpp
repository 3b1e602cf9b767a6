#include "events/hybrid_logical_clock.hpp"

#include <algorithm>

namespace poplarstile::events
{

hlc_stamp hybrid_logical_clock::tick(std::int64_t wall_ms)
{
    return advance(stamp_at(wall_ms));
}

bool hybrid_logical_clock::observe(hlc_stamp received, std::int64_t wall_ms)
{
    if (physical_ms(received) - wall_ms > hlc_max_ahead_ms) {
        return false;
    }
    advance(std::max(received + 1, stamp_at(wall_ms)));
    return true;
}

hlc_stamp hybrid_logical_clock::last() const
{
    return last_.load();
}

// A counter that overflows carries into the milliseconds, which keeps stamps rising.
hlc_stamp hybrid_logical_clock::advance(hlc_stamp least)
{
    auto seen = last_.load();
    auto next = std::max(seen + 1, least);
    while (!last_.compare_exchange_weak(seen, next)) {
        next = std::max(seen + 1, least);
    }
    return next;
}

} // namespace poplarstile::events
