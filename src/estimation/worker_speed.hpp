#pragma once

#include "base/time.hpp"

#include <cstdint>

/// Run times of tasks and speeds of workers, learned from finished runs. Classes without input or
/// output: time and observations are arguments.
namespace poplarstile::estimation
{

/// How fast one incarnation of a worker is, relative to the others. Load pattern: a quarter of the
/// workers run at half the speed of the others. Each observation is clipped, so that a task with a
/// heavy tail doesn't make its worker slow; few observations are shrunk towards the speed 1; old
/// ones decay, since a worker may become faster or slower.
class worker_speed
{
public:
    /// Forgets what was learned unless it is of this incarnation.
    void keep_only(std::uint64_t incarnation);

    /// Learns from a run whose logarithmic speed was `observed`; `weight` is in (0, 1].
    void observe(double observed, double weight, base::time_point now);

    /// Natural logarithm of the speed; 0 for an unknown worker.
    [[nodiscard]] double log_speed(base::time_point now) const;

    /// The speed; 1 for an unknown worker.
    [[nodiscard]] double speed(base::time_point now) const;

    /// Weight of the observations that count at this time.
    [[nodiscard]] double weight(base::time_point now) const;

private:
    std::uint64_t incarnation_ = 0;
    base::time_point updated_at_{};
    double weight_ = 0.0;
    double weighted_sum_ = 0.0;
};

static_assert(sizeof(worker_speed) <= 64, "bound on the memory of a worker");

} // namespace poplarstile::estimation
