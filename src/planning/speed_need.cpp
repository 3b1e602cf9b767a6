#include "planning/speed_need.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

/// A job that ends after this many times its objective is of no use to its caller.
constexpr int max_useful_objectives = 3;
/// Expected run times are exceeded about this much when estimates are wrong by a fifth.
constexpr double run_time_margin = 1.15;
/// A unit that needs a greater speed is not expected to find such a worker.
constexpr double attainable_speed = 1.25;
/// Workers slower than this are left to bulk work: urgent work with an objective of 1.5 times its
/// run time would miss it there.
constexpr double slow_worker_speed = 0.7;
/// Speed of a cold worker, as a fraction of its later speed.
constexpr double cold_fraction = 0.5;

double as_double(base::milliseconds time)
{
    return static_cast<double>(time.count());
}

/// Mean speed over a task that begins on a worker that is cold for a while.
double mean_speed(const speed_need& need, double speed, base::milliseconds cold_left)
{
    const auto expected = as_double(need.expected);
    if (cold_left <= base::milliseconds{0} || expected <= 0.0) {
        return speed;
    }
    const auto warm_time = expected / speed;
    const auto delay = std::min(warm_time * (1.0 / cold_fraction - 1.0),
                                as_double(cold_left) * (1.0 - cold_fraction));
    return expected / (warm_time + delay);
}

} // namespace

double least_speed_of(const ranking_input& facts)
{
    for (const auto latest : {facts.objective, facts.objective * max_useful_objectives}) {
        const auto left = as_double(latest - facts.age);
        const auto needed = as_double(facts.remaining) * run_time_margin;
        if (left > 0.0 && needed <= left * attainable_speed) {
            return needed / left;
        }
    }
    return 0.0;
}

bool is_too_slow(const speed_need& need, double speed, base::milliseconds cold_left)
{
    return need.least > 0.0 && mean_speed(need, speed, cold_left) < need.least;
}

std::uint32_t speed_rank(const speed_need& need, double speed, base::milliseconds cold_left)
{
    if (is_too_slow(need, speed, cold_left)) {
        return 2;
    }
    return need.prefers_slow && speed >= slow_worker_speed ? 1 : 0;
}

bool yields_to_fast(const speed_need& need, double speed)
{
    return need.expected > base::milliseconds{0} && !need.prefers_slow && speed < slow_worker_speed;
}

} // namespace poplarstile::planning
