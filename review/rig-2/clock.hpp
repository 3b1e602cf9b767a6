#pragma once

#include <chrono>
#include <cstdint>

namespace rig
{

/// The machine's steady clock, the same in all processes, in milliseconds.
inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Milliseconds since 1970.
inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace rig
