#include "bench/plots/chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>

namespace poplarstile::bench::plots
{
namespace
{

constexpr double width = 640;
constexpr double height = 400;
constexpr double left_margin = 86;
constexpr double right_margin = 20;
constexpr double top_margin = 36;
constexpr double bottom_margin = 52;
constexpr int linear_ticks = 5;
constexpr std::array<std::string_view, 6> colours{"#1f77b4", "#d62728", "#2ca02c",
                                                  "#9467bd", "#ff7f0e", "#17becf"};

/// Maps values of one axis to pixels.
struct axis {
    axis_scale scale = axis_scale::linear;
    double low = 0;
    double high = 1;
    double first_pixel = 0;
    double last_pixel = 1;

    [[nodiscard]] double scaled(double value) const
    {
        return scale == axis_scale::logarithmic ? std::log10(value) : value;
    }
    [[nodiscard]] double pixel(double value) const
    {
        const double share = (scaled(value) - scaled(low)) / (scaled(high) - scaled(low));
        return first_pixel + share * (last_pixel - first_pixel);
    }
};

bool can_show(double value, axis_scale scale)
{
    return std::isfinite(value) && (scale == axis_scale::linear || value > 0);
}

bool can_show(const chart& what, const point& at)
{
    return can_show(at.x, what.x_scale) && can_show(at.y, what.y_scale);
}

/// Widens the range to whole powers of ten, or to zero at its lower end.
void round_range(axis& made)
{
    if (made.scale == axis_scale::logarithmic) {
        made.low = std::pow(10, std::floor(std::log10(made.low)));
        made.high = std::pow(10, std::ceil(std::log10(made.high)));
    } else {
        made.low = std::min(0.0, made.low);
    }
    if (made.high <= made.low) {
        made.high = made.scale == axis_scale::logarithmic ? made.low * 10 : made.low + 1;
    }
}

axis make_axis(const chart& what, double point::*member, axis_scale scale)
{
    axis made{.scale = scale,
              .low = std::numeric_limits<double>::max(),
              .high = std::numeric_limits<double>::lowest()};
    for (const auto& one : what.data) {
        for (const auto& at : one.points) {
            if (can_show(what, at)) {
                made.low = std::min(made.low, at.*member);
                made.high = std::max(made.high, at.*member);
            }
        }
    }
    if (made.high < made.low) {
        made.low = 1;
        made.high = 1;
    }
    round_range(made);
    return made;
}

std::vector<double> ticks(const axis& of)
{
    std::vector<double> values;
    if (of.scale == axis_scale::logarithmic) {
        for (double value = of.low; value <= of.high * 1.001; value *= 10) {
            values.push_back(value);
        }
        return values;
    }
    for (int tick = 0; tick <= linear_ticks; ++tick) {
        values.push_back(of.low + (of.high - of.low) * tick / linear_ticks);
    }
    return values;
}

void draw_axes(std::string& out, const chart& what, const axis& x, const axis& y)
{
    auto to = std::back_inserter(out);
    for (const double value : ticks(x)) {
        const double at = x.pixel(value);
        fmt::format_to(to, R"(<line x1="{0:.1f}" y1="{1}" x2="{0:.1f}" y2="{2}" stroke="#ddd"/>)",
                       at, top_margin, height - bottom_margin);
        fmt::format_to(to, R"(<text x="{:.1f}" y="{}" text-anchor="middle">{:.4g}</text>)", at,
                       height - bottom_margin + 16, value);
    }
    for (const double value : ticks(y)) {
        const double at = y.pixel(value);
        fmt::format_to(to, R"(<line x1="{1}" y1="{0:.1f}" x2="{2}" y2="{0:.1f}" stroke="#ddd"/>)",
                       at, left_margin, width - right_margin);
        fmt::format_to(to, R"(<text x="{}" y="{:.1f}" text-anchor="end">{:.4g}</text>)",
                       left_margin - 6, at + 4, value);
    }
    fmt::format_to(to, R"(<text x="{}" y="20" text-anchor="middle" font-size="14">{}</text>)",
                   width / 2, escape_xml(what.title));
    fmt::format_to(to, R"(<text x="{}" y="{}" text-anchor="middle">{}</text>)",
                   (left_margin + width - right_margin) / 2, height - 14, escape_xml(what.x_label));
    fmt::format_to(to,
                   R"svg(<text transform="translate(16 {}) rotate(-90)" text-anchor="middle">)svg",
                   (top_margin + height - bottom_margin) / 2);
    fmt::format_to(to, "{}</text>\n", escape_xml(what.y_label));
}

void draw_series(std::string& out, const chart& what, const series& one, std::string_view colour,
                 const axis& x, const axis& y)
{
    auto to = std::back_inserter(out);
    std::string path;
    for (const auto& at : one.points) {
        if (!can_show(what, at)) {
            continue;
        }
        fmt::format_to(std::back_inserter(path), "{:.1f},{:.1f} ", x.pixel(at.x), y.pixel(at.y));
        if (one.style != series_style::line) {
            fmt::format_to(to, R"(<circle cx="{:.1f}" cy="{:.1f}" r="4" fill="{}"/>)",
                           x.pixel(at.x), y.pixel(at.y), colour);
        }
    }
    if (one.style != series_style::points) {
        fmt::format_to(to, R"(<polyline points="{}" fill="none" stroke="{}" stroke-width="1.5"/>)",
                       path, colour);
    }
    out += '\n';
}

void draw_legend(std::string& out, const chart& what)
{
    double line = top_margin + 16;
    for (std::size_t index = 0; index < what.data.size(); ++index) {
        fmt::format_to(std::back_inserter(out), R"(<text x="{}" y="{}" fill="{}">{}</text>)",
                       left_margin + 10, line, colours.at(index % colours.size()),
                       escape_xml(what.data[index].name));
        line += 16;
    }
}

} // namespace

std::string escape_xml(std::string_view text)
{
    std::string out;
    for (const char letter : text) {
        switch (letter) {
        case '&':
            out += "&amp;";
            break;
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += letter;
        }
    }
    return out;
}

std::string to_svg(const chart& what)
{
    auto x = make_axis(what, &point::x, what.x_scale);
    x.first_pixel = left_margin;
    x.last_pixel = width - right_margin;
    auto y = make_axis(what, &point::y, what.y_scale);
    y.first_pixel = height - bottom_margin;
    y.last_pixel = top_margin;
    auto out = fmt::format(R"(<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {} {}" )"
                           R"(font-family="sans-serif" font-size="12">)"
                           R"(<rect width="100%" height="100%" fill="white"/>)"
                           "\n",
                           width, height);
    draw_axes(out, what, x, y);
    for (std::size_t index = 0; index < what.data.size(); ++index) {
        draw_series(out, what, what.data[index], colours.at(index % colours.size()), x, y);
    }
    draw_legend(out, what);
    out += "</svg>\n";
    return out;
}

} // namespace poplarstile::bench::plots
