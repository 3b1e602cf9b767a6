#pragma once

#include "bench/capacity/fit.hpp"
#include "bench/plots/chart.hpp"

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

/// Measurements of one cost at several sizes.
namespace poplarstile::bench::capacity
{

/// One cost over one size, such as processor time over workers.
struct slope {
    /// Names the slope in docs/CAPACITY.md, such as `scheduler.heartbeat.cpu`.
    std::string name{};
    /// What is measured, in a sentence.
    std::string what{};
    std::string size_unit{};
    std::string cost_unit{};
    std::vector<plots::point> points{};
};

/// How large and how often to measure.
struct effort {
    /// Sizes are divided by this; 1 for the run that the page is made from.
    std::size_t divisor = 1;
    /// Least of this many runs is taken for processor time.
    std::size_t repeats = 5;
};

/// Bytes that the allocator has handed out in this process.
[[nodiscard]] std::int64_t allocated_bytes();

/// Processor time of the calling thread.
[[nodiscard]] double thread_cpu_us();

/// Processor time of the whole process.
[[nodiscard]] double process_cpu_us();

/// Least processor time of `work` over some runs, in microseconds. `prepare` runs before each and
/// is not counted.
[[nodiscard]] double least_cpu_us(std::size_t repeats, const std::function<void()>& prepare,
                                  const std::function<void()>& work);

/// Measures `cost` at each size.
[[nodiscard]] slope measure(slope head, std::span<const std::size_t> sizes, const effort& how,
                            const std::function<double(std::size_t)>& cost);

// The slopes by part.

[[nodiscard]] std::vector<slope> scheduler_slopes(const effort& how);
[[nodiscard]] std::vector<slope> rules_slopes(const effort& how);
[[nodiscard]] std::vector<slope> request_slopes(const effort& how);
[[nodiscard]] std::vector<slope> membership_slopes(const effort& how);
[[nodiscard]] std::vector<slope> wire_slopes(const effort& how);

} // namespace poplarstile::bench::capacity
