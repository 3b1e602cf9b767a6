#pragma once

#include <cstdint>

/// Jobs of steps and tasks: what they need, how far they are, how they are stored.
namespace poplarstile::batch
{

/// What a task takes on a worker, or what a worker has.
struct resources {
    /// Thousandths of a core.
    std::int64_t cpu_milli = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other)
    {
        cpu_milli += other.cpu_milli;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        cpu_milli -= other.cpu_milli;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    [[nodiscard]] friend resources operator+(resources left, const resources& right)
    {
        return left += right;
    }

    [[nodiscard]] friend resources operator-(resources left, const resources& right)
    {
        return left -= right;
    }

    [[nodiscard]] friend resources operator*(resources left, std::int64_t times)
    {
        left.cpu_milli *= times;
        left.memory_mb *= times;
        left.accelerators *= times;
        return left;
    }

    /// True when all of this fits into `room`.
    [[nodiscard]] bool fits(const resources& room) const
    {
        return cpu_milli <= room.cpu_milli && memory_mb <= room.memory_mb &&
               accelerators <= room.accelerators;
    }

    /// How often this fits into `room`; a need of nothing fits without a bound of its own.
    [[nodiscard]] std::int64_t times_in(const resources& room) const;
};

/// Core-seconds that an accelerator counts as when work of different kinds is compared.
constexpr std::int64_t cores_per_accelerator = 8;

/// Weight of a need in cores, accelerators counted in.
[[nodiscard]] double core_weight(const resources& need);

} // namespace poplarstile::batch
