#include "bench/capacity/fit.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::bench::capacity
{
namespace
{

constexpr std::size_t min_points = 3;
constexpr double constant_growth = 1.3;
constexpr double min_linear_exponent = 0.8;
constexpr double max_linear_exponent = 1.25;
constexpr double max_linear_residual = 0.25;

/// Weighted sums that the normal equations need.
struct sums {
    double weight = 0;
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
};

sums add_up(std::span<const plots::point> points)
{
    sums total;
    for (const auto& at : points) {
        const double weight = 1.0 / at.x;
        total.weight += weight;
        total.x += weight * at.x;
        total.y += weight * at.y;
        total.xx += weight * at.x * at.x;
        total.xy += weight * at.x * at.y;
    }
    return total;
}

double growth_exponent(std::span<const plots::point> points)
{
    const auto& first = points.front();
    const auto& middle = points[points.size() - 2];
    const auto& last = points.back();
    const double low = middle.y - first.y;
    const double high = last.y - first.y;
    if (low <= 0 || high <= 0) {
        return 0;
    }
    return std::log(high / low) / std::log((last.x - first.x) / (middle.x - first.x));
}

growth classify(std::span<const plots::point> points, const fit& line)
{
    const auto [least, greatest] =
        std::ranges::minmax(points, {}, [](const plots::point& at) { return at.y; });
    if (greatest.y <= constant_growth * least.y) {
        return growth::constant;
    }
    if (line.exponent > max_linear_exponent) {
        return growth::superlinear;
    }
    const bool line_fits = line.residual_share <= max_linear_residual && line.slope > 0;
    if (line.exponent >= min_linear_exponent && line_fits) {
        return growth::linear;
    }
    return line.exponent > 0 && line.exponent < min_linear_exponent ? growth::sublinear
                                                                    : growth::unclear;
}

} // namespace

std::string_view to_string(growth value)
{
    switch (value) {
    case growth::constant:
        return "constant";
    case growth::linear:
        return "linear";
    case growth::superlinear:
        return "superlinear";
    case growth::sublinear:
        return "sublinear";
    case growth::unclear:
        break;
    }
    return "unclear";
}

fit fit_line(std::span<const plots::point> points)
{
    fit line;
    if (points.size() < min_points) {
        return line;
    }
    const auto total = add_up(points);
    const double spread = total.weight * total.xx - total.x * total.x;
    line.slope = (total.weight * total.xy - total.x * total.y) / spread;
    line.intercept = (total.y - line.slope * total.x) / total.weight;
    const double count = static_cast<double>(points.size());
    double plain_mean = 0;
    for (const auto& at : points) {
        plain_mean += at.y / count;
    }
    double residual = 0;
    double weighted_residual = 0;
    double variance = 0;
    for (const auto& at : points) {
        const double off = at.y - (line.intercept + line.slope * at.x);
        residual += off * off;
        weighted_residual += off * off / at.x;
        variance += (at.y - plain_mean) * (at.y - plain_mean);
    }
    line.r_squared = variance > 0 ? std::max(0.0, 1 - residual / variance) : 1;
    line.residual_share = plain_mean > 0 ? std::sqrt(residual / count) / plain_mean : 0;
    line.slope_error = std::sqrt(weighted_residual / (count - 2) * total.weight / spread);
    line.exponent = growth_exponent(points);
    line.kind = classify(points, line);
    return line;
}

} // namespace poplarstile::bench::capacity
