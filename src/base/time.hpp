#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

/// The clocks of the project. Decisions take their time as an argument and never read a clock.
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

/// The steady clock of the store. No VM can read it: the store's replies tell it. Its times compare
/// with each other only, which the type ensures; a time that is not known is an empty optional.
struct store_clock {
    using duration = milliseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<store_clock>;
    static constexpr bool is_steady = true;
};

using store_time = store_clock::time_point;

/// The time as it is stored and logged: milliseconds since the clock's start, 0 when not known.
[[nodiscard]] inline std::int64_t to_stored_ms(const std::optional<store_time>& time)
{
    return time ? time->time_since_epoch().count() : 0;
}

/// The reverse of `to_stored_ms`.
[[nodiscard]] inline std::optional<store_time> from_stored_ms(std::int64_t stored)
{
    return stored > 0 ? std::optional{store_time{milliseconds{stored}}} : std::nullopt;
}

} // namespace poplarstile::base
