#pragma once

#include "base/time.hpp"

namespace poplarstile::standins::platform_standin
{

/// A token bucket that holds at most one second's worth.
class token_bucket
{
public:
    explicit token_bucket(double per_second) : per_second_{per_second}, tokens_{per_second} {}

    /// Takes one token at time `now` (any monotonic origin); false when there is none.
    [[nodiscard]] bool take(base::microseconds now);

private:
    double per_second_;
    double tokens_;
    base::microseconds filled_at_{0};
};

} // namespace poplarstile::standins::platform_standin
