#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

namespace poplarstile::estimation
{

/// The newest values of a quantity on the log scale, and their quantiles. An outlier does not shift
/// the quantiles of the others. Fixed memory.
class log_ratios
{
public:
    static constexpr std::size_t capacity = 64;

    void add(double value);

    [[nodiscard]] std::size_t count() const
    {
        return count_;
    }
    /// Median, computed when a value is added; 0 without values.
    [[nodiscard]] double median() const
    {
        return median_;
    }

private:
    std::array<float, capacity> values_{};
    std::uint32_t count_ = 0;
    std::uint32_t next_ = 0;
    float median_ = 0.0F;
};

/// The `share` quantile of the values, which are reordered; 0 without values.
[[nodiscard]] double quantile_of(std::span<float> values, double share);

} // namespace poplarstile::estimation
