#include "bench/scheduling/measures.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace poplarstile::bench::scheduling
{
namespace
{

constexpr double width = 960;
constexpr double height = 420;
constexpr double left = 70;
constexpr double top = 60;
constexpr double bottom = 60;
constexpr int grid_lines = 5;
constexpr std::array<const char*, 6> colours{"#4c566a", "#a3a9b8", "#2a7f9e",
                                             "#d08770", "#5e9c5a", "#8f6fb0"};

std::string text(double x, double y, const std::string& words, const char* anchor)
{
    return fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\" text-anchor=\"{}\">{}</text>\n", x, y,
                       anchor, words);
}

std::string axis(double greatest, const std::string& unit)
{
    std::string drawn;
    const double space = height - top - bottom;
    for (int line = 0; line <= grid_lines; ++line) {
        const double share = static_cast<double>(line) / grid_lines;
        const double y = height - bottom - share * space;
        drawn += fmt::format("<line x1=\"{}\" x2=\"{}\" y1=\"{:.0f}\" y2=\"{:.0f}\" "
                             "stroke=\"#dddddd\"/>\n",
                             left, width, y, y);
        drawn += text(left - 6, y + 4, fmt::format("{:.3g}", share * greatest), "end");
    }
    return drawn + text(8, top - 10, unit, "start");
}

} // namespace

std::string bar_chart(const std::string& title, const std::string& unit,
                      const std::vector<std::string>& labels,
                      const std::vector<plot_series>& series)
{
    double greatest = 0;
    for (const auto& one : series) {
        for (const double value : one.values) {
            greatest = std::max(greatest, value);
        }
    }
    greatest = greatest > 0 ? greatest : 1;
    auto drawn = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {} {}\" "
                             "font-family=\"sans-serif\" font-size=\"11\">\n"
                             "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
                             width, height);
    drawn += text(left, 20, title, "start") + axis(greatest, unit);
    const double group = (width - left) / static_cast<double>(std::max<std::size_t>(1, labels.size()));
    const double bar = group * 0.85 / static_cast<double>(std::max<std::size_t>(1, series.size()));
    for (std::size_t index = 0; index < series.size(); ++index) {
        const auto* const colour = colours.at(index % colours.size());
        const double key = left + static_cast<double>(index) * 150;
        drawn += fmt::format("<rect x=\"{:.0f}\" y=\"30\" width=\"10\" height=\"10\" "
                             "fill=\"{}\"/>\n",
                             key, colour);
        drawn += text(key + 14, 39, series[index].name, "start");
        for (std::size_t at = 0; at < series[index].values.size(); ++at) {
            const double tall = series[index].values[at] / greatest * (height - top - bottom);
            const double x = left + static_cast<double>(at) * group +
                             static_cast<double>(index) * bar + group * 0.07;
            drawn += fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                                 "height=\"{:.1f}\" fill=\"{}\"/>\n",
                                 x, height - bottom - tall, bar * 0.9, tall, colour);
        }
    }
    for (std::size_t at = 0; at < labels.size(); ++at) {
        const double x = left + (static_cast<double>(at) + 0.5) * group;
        drawn += text(x, height - bottom + 18 + static_cast<double>(at % 2) * 16, labels[at],
                      "middle");
    }
    return drawn + "</svg>\n";
}

} // namespace poplarstile::bench::scheduling
