#pragma once

#include "base/time.hpp"

#include <algorithm>

namespace poplarstile::limits
{

/// A token bucket over an explicit clock. Rate and burst can change at any time.
class token_bucket
{
public:
    /// Starts full. `rate` is in tokens a second.
    token_bucket(double rate, double burst, base::time_point now)
        : rate_{rate}, burst_{burst}, tokens_{burst}, filled_at_{now}
    {
    }

    /// Takes one token; false when there is none.
    [[nodiscard]] bool try_take(base::time_point now)
    {
        refill(now);
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

    /// Changes the rate; what was saved up is kept, up to the new burst.
    void set_rate(double rate, double burst, base::time_point now)
    {
        refill(now);
        rate_ = rate;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
    }

    /// Time until a token is there.
    [[nodiscard]] base::milliseconds time_to_token(base::time_point now)
    {
        refill(now);
        if (tokens_ >= 1.0) {
            return base::milliseconds{0};
        }
        constexpr double ms_per_second = 1000.0;
        const double wait_ms = (1.0 - tokens_) / std::max(rate_, 1e-3) * ms_per_second;
        return base::milliseconds{static_cast<std::int64_t>(wait_ms) + 1};
    }

private:
    void refill(base::time_point now)
    {
        const std::chrono::duration<double> passed = now - filled_at_;
        if (passed.count() > 0) {
            tokens_ = std::min(burst_, tokens_ + passed.count() * rate_);
            filled_at_ = now;
        }
    }

    double rate_;
    double burst_;
    double tokens_;
    base::time_point filled_at_;
};

} // namespace poplarstile::limits
