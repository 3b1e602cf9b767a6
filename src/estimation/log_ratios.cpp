#include "estimation/log_ratios.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::estimation
{

void log_ratios::add(double value)
{
    values_.at(next_) = static_cast<float>(value);
    next_ = (next_ + 1) % static_cast<std::uint32_t>(capacity);
    count_ = std::min(count_ + 1, static_cast<std::uint32_t>(capacity));
    auto sorted = values_;
    median_ = static_cast<float>(quantile_of(std::span{sorted}.first(count_), 0.5));
}

double quantile_of(std::span<float> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto last = static_cast<double>(values.size() - 1);
    const auto position = std::llround(std::clamp(share, 0.0, 1.0) * last);
    const auto chosen = values.begin() + static_cast<std::ptrdiff_t>(position);
    std::ranges::nth_element(values, chosen);
    return static_cast<double>(*chosen);
}

} // namespace poplarstile::estimation
