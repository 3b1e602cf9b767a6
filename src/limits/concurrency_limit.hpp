#pragma once

#include <algorithm>
#include <cstdint>

namespace poplarstile::limits
{

/// How many requests one VM keeps under way on one worker whose slots several VMs share without
/// talking to each other: additive increase while the worker takes them, multiplicative decrease
/// when it says that its slots are taken.
/// Source: additive-increase/multiplicative-decrease, Chiu and Jain, 1989.
class concurrency_limit
{
public:
    /// `slots` is what the worker has in all; `start` is where the search begins.
    concurrency_limit(std::uint32_t slots, double start)
        : slots_{static_cast<double>(slots)}, limit_{std::clamp(start, 1.0, slots_)}
    {
    }

    /// A request ended well while the limit was in use.
    void record_success(std::uint32_t in_flight)
    {
        const bool limit_was_used = static_cast<double>(in_flight) + 1.0 >= limit_;
        if (limit_was_used) {
            limit_ = std::min(slots_, limit_ + increase / limit_);
        }
    }

    /// The worker refused because all its slots were taken.
    void record_busy()
    {
        limit_ = std::max(1.0, limit_ * decrease_factor);
    }

    [[nodiscard]] std::uint32_t limit() const
    {
        return static_cast<std::uint32_t>(limit_);
    }

private:
    static constexpr double increase = 0.5;
    static constexpr double decrease_factor = 0.8;

    double slots_;
    double limit_;
};

} // namespace poplarstile::limits
