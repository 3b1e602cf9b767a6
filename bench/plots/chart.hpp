#pragma once

#include <string>
#include <string_view>
#include <vector>

/// Charts for reports as SVG text.
namespace poplarstile::bench::plots
{

struct point {
    double x = 0;
    double y = 0;
};

enum class series_style { points, line, points_and_line };

/// One curve or cloud of points; `name` stands in the legend.
struct series {
    std::string name{};
    std::vector<point> points{};
    series_style style = series_style::points_and_line;
};

enum class axis_scale { linear, logarithmic };

/// An x-y chart. A logarithmic axis shows positive values only; others are left out.
struct chart {
    std::string title{};
    std::string x_label{};
    std::string y_label{};
    axis_scale x_scale = axis_scale::linear;
    axis_scale y_scale = axis_scale::linear;
    std::vector<series> data{};
};

/// The chart as one self-contained SVG element. Points that are not finite are left out.
[[nodiscard]] std::string to_svg(const chart& what);

/// `text` with the characters escaped that XML reserves.
[[nodiscard]] std::string escape_xml(std::string_view text);

} // namespace poplarstile::bench::plots
