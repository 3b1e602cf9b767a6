#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <deque>

namespace poplarstile::standins::worker_standin
{

struct usage_sample {
    base::time_point at{};
    std::uint64_t slots_busy = 0;
    std::uint64_t accelerators_busy = 0;
};

/// Use of one worker over time, read with a fixed lag.
class usage_history
{
public:
    explicit usage_history(base::milliseconds lag) : lag_{lag} {}

    /// Notes a change of use; samples come in order of time.
    void add(const usage_sample& sample);

    /// Use as it was `lag` before `now`.
    [[nodiscard]] usage_sample lagging(base::time_point now);

private:
    void drop_old(base::time_point now);

    base::milliseconds lag_;
    std::deque<usage_sample> samples_;
};

} // namespace poplarstile::standins::worker_standin
