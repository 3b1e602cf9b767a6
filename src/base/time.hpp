#pragma once

#include <chrono>
#include <cstdint>

/// The two clocks of the project. Decisions take their time as an argument and never read a clock.
namespace poplarstile::base
{

using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;

/// Monotonic time of one process; never compared between processes.
using time_point = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// Now on the monotonic clock.
[[nodiscard]] inline time_point now()
{
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

/// Microseconds since the epoch on the wall clock, for people and event stamps only.
[[nodiscard]] inline std::int64_t wall_clock_us()
{
    return std::chrono::duration_cast<microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace poplarstile::base
