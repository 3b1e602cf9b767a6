#pragma once

#include "bench/plots/chart.hpp"

#include <span>
#include <string_view>

/// Least-squares fits of measured costs to sizes.
namespace poplarstile::bench::capacity
{

enum class growth {
    /// The cost does not depend on the size.
    constant,
    linear,
    /// Grows faster than the size.
    superlinear,
    /// Grows, but slower than the size.
    sublinear,
    /// The points follow neither a line nor a power.
    unclear,
};

[[nodiscard]] std::string_view to_string(growth value);

/// `y = intercept + slope * x`, and how well it fits.
struct fit {
    double slope = 0;
    double intercept = 0;
    /// Share of the variance that the line explains, from 0 to 1.
    double r_squared = 0;
    /// Root mean square of the residuals, as a share of the mean of y.
    double residual_share = 0;
    /// Standard error of the slope.
    double slope_error = 0;
    /// Exponent b of `y - y(smallest) ~ x^b`, between the two largest sizes.
    double exponent = 0;
    growth kind = growth::unclear;
};

/// Fits a line and tells linear growth apart from other growth. Needs three points or more; fewer
/// give `growth::unclear`. Points are in the order of x.
///
/// The line is weighted by 1/x, as the spread of a cost grows with its size; otherwise the largest
/// size alone would decide.
[[nodiscard]] fit fit_line(std::span<const plots::point> points);

} // namespace poplarstile::bench::capacity
