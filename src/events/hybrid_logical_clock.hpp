#pragma once

#include <atomic>
#include <cstdint>

/// Stamps that order events of several processes by cause and stay close to wall time.
/// Source: Kulkarni, Demirbas, Madappa, Avva, Leone: Logical Physical Clocks, OPODIS 2014.
namespace poplarstile::events
{

/// A stamp: 48 bits of milliseconds since the epoch, then a counter of 16 bits.
using hlc_stamp = std::uint64_t;

inline constexpr unsigned hlc_counter_bits = 16;

/// Stamps that run further ahead of the own wall clock are not followed, in milliseconds.
inline constexpr std::int64_t hlc_max_ahead_ms = 60'000;

/// The milliseconds since the epoch in a stamp.
[[nodiscard]] constexpr std::int64_t physical_ms(hlc_stamp stamp)
{
    return static_cast<std::int64_t>(stamp >> hlc_counter_bits);
}

/// The counter in a stamp.
[[nodiscard]] constexpr std::uint16_t logical_count(hlc_stamp stamp)
{
    return static_cast<std::uint16_t>(stamp);
}

/// The smallest stamp of a wall time in milliseconds since the epoch; negative times count as 0.
[[nodiscard]] constexpr hlc_stamp stamp_at(std::int64_t wall_ms)
{
    return wall_ms < 0 ? 0 : static_cast<hlc_stamp>(wall_ms) << hlc_counter_bits;
}

/// The clock of one process. Any thread may call it; wall times are arguments.
class hybrid_logical_clock
{
public:
    /// The stamp of a local event or of a message to send: greater than every stamp before it.
    [[nodiscard]] hlc_stamp tick(std::int64_t wall_ms);

    /// Takes in the stamp of a received message, so that every later `tick` is greater.
    /// False when it runs more than `hlc_max_ahead_ms` ahead of `wall_ms`; it is then ignored.
    bool observe(hlc_stamp received, std::int64_t wall_ms);

    /// The greatest stamp given or taken in so far.
    [[nodiscard]] hlc_stamp last() const;

private:
    hlc_stamp advance(hlc_stamp least);

    std::atomic<hlc_stamp> last_{0};
};

} // namespace poplarstile::events
