#pragma once

#include <cstdint>

/// Jobs, their steps and tasks: requirements, progress and stored form.
namespace poplarstile::batch
{

/// Resources that a task needs, or the capacity of a worker.
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

    /// True when every resource of this is at most that of `capacity`.
    [[nodiscard]] bool fits(const resources& capacity) const
    {
        return cpu_milli <= capacity.cpu_milli && memory_mb <= capacity.memory_mb &&
               accelerators <= capacity.accelerators;
    }

    /// How many copies of this fit into `capacity`. A resource of which this needs nothing sets no
    /// limit, unless it is exceeded: nothing fits into a capacity that is below zero.
    [[nodiscard]] std::int64_t fit_count(const resources& capacity) const;
};

/// Core-seconds that a second of an accelerator counts as when work of different kinds is compared.
constexpr std::int64_t cores_per_accelerator = 8;

/// Weight of `need` in cores, accelerators included.
[[nodiscard]] double core_weight(const resources& need);

} // namespace poplarstile::batch
