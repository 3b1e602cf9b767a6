#include "fleet/worker_clock.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::fleet
{

void worker_clock::observe(std::int64_t worker_ms, base::time_point sent, base::time_point received)
{
    // Answers may overtake each other; the newest reading of the clock counts.
    if (!observed_ || worker_ms >= observed_->worker_ms) {
        observed_ = observation{worker_ms, sent, received};
    }
}

std::int64_t worker_clock::latest_reading(base::time_point when) const
{
    if (!observed_) {
        return 0;
    }
    const auto elapsed = std::chrono::ceil<base::milliseconds>(when - observed_->sent);
    return observed_->worker_ms + std::max<std::int64_t>(elapsed.count(), 0);
}

std::int64_t worker_clock::earliest_reading(base::time_point when) const
{
    if (!observed_) {
        return 0;
    }
    const auto elapsed = std::chrono::floor<base::milliseconds>(when - observed_->received);
    const auto least = static_cast<double>(std::max<std::int64_t>(elapsed.count(), 0));
    return observed_->worker_ms + static_cast<std::int64_t>(least * slowest_clock_rate);
}

base::time_point worker_clock::surely_passed(std::int64_t worker_ms) const
{
    if (!observed_) {
        return base::time_point::max();
    }
    const auto left =
        static_cast<double>(std::max<std::int64_t>(worker_ms - observed_->worker_ms, 0));
    const auto slowest = base::milliseconds{std::llround(std::ceil(left / slowest_clock_rate))};
    return observed_->received + slowest;
}

} // namespace poplarstile::fleet
