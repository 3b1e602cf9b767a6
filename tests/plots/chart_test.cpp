#include "bench/plots/chart.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace poplarstile::bench::plots
{
namespace
{

TEST(chart, shows_title_axes_and_legend)
{
    const chart what{.title = "cost",
                     .x_label = "workers",
                     .y_label = "us",
                     .data = {{"cpu", {{1, 2}, {2, 4}}}}};

    const auto svg = to_svg(what);

    for (const auto* const text : {">cost<", ">workers<", ">us<", ">cpu<"}) {
        EXPECT_NE(svg.find(text), std::string::npos) << text;
    }
}

TEST(chart, puts_greater_values_higher)
{
    const chart what{.data = {{"", {{0, 0}, {10, 10}}, series_style::line}}};

    const auto svg = to_svg(what);

    // The plane is 86..620 by 36..348 pixels; SVG's y grows downwards.
    EXPECT_NE(svg.find("points=\"86.0,348.0 620.0,36.0 \""), std::string::npos) << svg;
}

TEST(chart, leaves_out_what_an_axis_cannot_show)
{
    const chart what{
        .y_scale = axis_scale::logarithmic,
        .data = {{"", {{1, 0}, {2, std::numeric_limits<double>::infinity()}, {3, 10}}}}};

    const auto svg = to_svg(what);

    EXPECT_EQ(svg.find("<circle"), svg.rfind("<circle")) << "only one point can be shown";
    EXPECT_EQ(svg.find("inf"), std::string::npos);
    EXPECT_EQ(svg.find("nan"), std::string::npos);
}

TEST(chart, can_be_empty)
{
    EXPECT_NE(to_svg({}).find("</svg>"), std::string::npos);
}

TEST(chart, escapes_names)
{
    EXPECT_EQ(escape_xml("a<b & \"c\">"), "a&lt;b &amp; &quot;c&quot;&gt;");
}

} // namespace
} // namespace poplarstile::bench::plots
