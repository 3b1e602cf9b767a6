#include "bench/capacity/report.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>

namespace poplarstile::bench::capacity
{
namespace
{

plots::series fitted_line(const slope& of, const fit& line)
{
    plots::series fitted{.name = fmt::format("{:.4g} + {:.4g} x, r2 {:.3f}", line.intercept,
                                             line.slope, line.r_squared),
                         .style = plots::series_style::line};
    for (const auto& at : of.points) {
        fitted.points.push_back({at.x, line.intercept + line.slope * at.x});
    }
    return fitted;
}

std::string svg_of(const slope& of, const fit& line)
{
    return plots::to_svg(
        {.title = of.name,
         .x_label = of.size_unit,
         .y_label = of.cost_unit,
         .data = {{.name = "measured", .points = of.points, .style = plots::series_style::points},
                  fitted_line(of, line)}});
}

} // namespace

std::string to_json_text(std::span<const slope> slopes)
{
    auto list = nlohmann::json::array();
    for (const auto& one : slopes) {
        const auto line = fit_line(one.points);
        auto points = nlohmann::json::array();
        for (const auto& at : one.points) {
            points.push_back({{"size", at.x}, {"cost", at.y}});
        }
        list.push_back({{"name", one.name},
                        {"what", one.what},
                        {"size_unit", one.size_unit},
                        {"cost_unit", one.cost_unit},
                        {"points", points},
                        {"slope", line.slope},
                        {"slope_error", line.slope_error},
                        {"intercept", line.intercept},
                        {"r_squared", line.r_squared},
                        {"residual_share", line.residual_share},
                        {"exponent", line.exponent},
                        {"growth", to_string(line.kind)}});
    }
    return nlohmann::json{{"slopes", list}}.dump(2) + "\n";
}

std::string to_text(std::span<const slope> slopes)
{
    std::string out = "| slope | sizes | cost at each size | slope (± error) | intercept | r2 | "
                      "residual | growth |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    auto to = std::back_inserter(out);
    for (const auto& one : slopes) {
        const auto line = fit_line(one.points);
        std::string sizes;
        std::string costs;
        for (const auto& at : one.points) {
            fmt::format_to(std::back_inserter(sizes), "{}{:g}", sizes.empty() ? "" : ", ", at.x);
            fmt::format_to(std::back_inserter(costs), "{}{:.4g}", costs.empty() ? "" : ", ", at.y);
        }
        fmt::format_to(to,
                       "| {} | {} {} | {} {} | {:.4g} ± {:.2g} | {:.4g} | {:.3f} | {:.0f} % | {} "
                       "(exponent {:.2f}) |\n",
                       one.name, sizes, one.size_unit, costs, one.cost_unit, line.slope,
                       line.slope_error, line.intercept, line.r_squared, line.residual_share * 100,
                       to_string(line.kind), line.exponent);
    }
    return out;
}

base::result<void> write_report(std::span<const slope> slopes, const std::filesystem::path& folder)
{
    std::error_code failed;
    std::filesystem::create_directories(folder, failed);
    std::ofstream page{folder / "index.html"};
    page << "<!doctype html><meta charset=\"utf-8\"><title>Slopes</title>"
            "<body style=\"font-family:sans-serif;max-width:44em;margin:auto\"><h1>Slopes</h1>\n";
    for (const auto& one : slopes) {
        const auto line = fit_line(one.points);
        const auto svg = svg_of(one, line);
        std::ofstream{folder / (one.name + ".svg")} << svg;
        page << fmt::format("<h2>{}</h2><p>{} Growth: {}; residual {:.1f} %.</p>\n{}",
                            plots::escape_xml(one.name), plots::escape_xml(one.what),
                            to_string(line.kind), line.residual_share * 100, svg);
    }
    page.flush();
    if (!page) {
        return base::error{base::error_code::operator_argument_invalid, folder.string(),
                           "can't be written"};
    }
    return base::success();
}

} // namespace poplarstile::bench::capacity
