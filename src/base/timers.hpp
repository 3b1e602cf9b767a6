#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>

namespace poplarstile::base
{

/// Time for parts that run on one reactor thread; tests give a clock that they move by hand.
struct timers {
    /// Monotonic time that goes on while the VM is suspended.
    std::function<time_point()> now{};
    /// Milliseconds since the epoch on the wall clock.
    std::function<std::int64_t()> unix_ms{};
    /// Calls the function once after the delay, on the reactor thread, never before returning.
    std::function<void(milliseconds, std::function<void()>)> after{};
};

/// Whole milliseconds between two moments.
[[nodiscard]] inline std::int64_t milliseconds_between(time_point earlier, time_point later)
{
    return std::chrono::duration_cast<milliseconds>(later - earlier).count();
}

} // namespace poplarstile::base
