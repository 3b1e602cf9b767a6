#include "estimation/worker_speed.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::estimation
{
namespace
{

/// Weight of the assumption that a worker has speed 1, in observations: the variance of single run
/// times (0.25 on the log scale) over that of speeds (0.1).
constexpr double prior_weight = 2.5;
/// An observation further than this from the present value is clipped: a factor of 2.2, the
/// difference between slow and fast workers.
constexpr double max_step = 0.8;
/// Speeds outside 0.2 and 5 are not believed.
constexpr double max_log_speed = 1.6;
/// Share of the earlier observations that each new one replaces, so that about 40 count.
constexpr double replaced_share = 1.0 / 40.0;
constexpr double half_life_s = 600.0;

/// What is left of a weight after this time. A clock that went back takes nothing away.
double decay_between(base::time_point from, base::time_point to)
{
    const auto elapsed = std::chrono::duration<double>(to - from).count();
    return std::exp2(-std::max(elapsed, 0.0) / half_life_s);
}

} // namespace

void worker_speed::keep_only(std::uint64_t incarnation)
{
    if (incarnation_ != incarnation) {
        *this = {};
        incarnation_ = incarnation;
    }
}

void worker_speed::observe(double observed, double weight, base::time_point now)
{
    const auto present = log_speed(now);
    const auto clipped = std::clamp(observed, present - max_step, present + max_step);
    const auto kept = decay_between(updated_at_, now) * (1.0 - replaced_share * weight);
    weight_ = weight_ * kept + weight;
    weighted_sum_ = weighted_sum_ * kept + clipped * weight;
    updated_at_ = std::max(updated_at_, now);
}

double worker_speed::log_speed(base::time_point now) const
{
    const auto decay = decay_between(updated_at_, now);
    const auto shrunk = weighted_sum_ * decay / (weight_ * decay + prior_weight);
    return std::clamp(shrunk, -max_log_speed, max_log_speed);
}

double worker_speed::speed(base::time_point now) const
{
    return weight_ > 0.0 ? std::exp(log_speed(now)) : 1.0;
}

double worker_speed::weight(base::time_point now) const
{
    return weight_ * decay_between(updated_at_, now);
}

} // namespace poplarstile::estimation
