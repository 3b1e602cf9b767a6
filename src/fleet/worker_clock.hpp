#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>

namespace poplarstile::fleet
{

/// A worker's clock may run this much slower than ours.
constexpr double slowest_clock_rate = 0.98;

/// What is known of one worker's clock, and until when it may run what it was told to run.
class worker_clock
{
public:
    /// Notes an answer: the worker's clock read `worker_ms` between `sent` and `received`.
    void observe(std::int64_t worker_ms, base::time_point sent, base::time_point received);

    [[nodiscard]] bool known() const
    {
        return observed_.has_value();
    }

    /// The greatest that the worker's clock can read at `when`.
    [[nodiscard]] std::int64_t latest_reading(base::time_point when) const;

    /// The least that the worker's clock can read at `when`.
    [[nodiscard]] std::int64_t earliest_reading(base::time_point when) const;

    /// When the newest reading was received; empty while the clock is not known.
    [[nodiscard]] std::optional<base::time_point> observed_at() const
    {
        return observed_ ? std::optional{observed_->received} : std::nullopt;
    }

    /// A lease that ends `length` from `when` by the worker's clock, as that clock counts.
    [[nodiscard]] std::int64_t lease_until(base::time_point when, base::milliseconds length) const
    {
        return latest_reading(when) + length.count();
    }

    /// The moment by which the worker's clock has surely passed `worker_ms`.
    [[nodiscard]] base::time_point surely_passed(std::int64_t worker_ms) const;

private:
    struct observation {
        std::int64_t worker_ms = 0;
        base::time_point sent{};
        base::time_point received{};
    };
    std::optional<observation> observed_{};
};

} // namespace poplarstile::fleet
