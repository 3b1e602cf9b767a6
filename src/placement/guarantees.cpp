#include "placement/guarantees.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::placement
{
namespace
{

struct guarantee_line {
    const rules::rule_line* line = nullptr;
    const rules::guarantee_rule* rule = nullptr;
};

std::vector<cell_demand> demands_of(std::span<const guarantee_line> lines)
{
    std::vector<cell_demand> demands;
    for (const auto& line : lines) {
        demands.push_back({need_of(line.rule->guaranteed), line.rule->count});
    }
    std::ranges::stable_sort(demands, std::ranges::greater{}, &cell_demand::need);
    return demands;
}

cell_index whole_hardware(const topology& hardware)
{
    cell_index all{hardware};
    const auto lines = hardware.lines();
    for (std::uint32_t line = 0; line < lines.size(); ++line) {
        for (std::uint32_t offset = 0; offset < lines[line].size(); ++offset) {
            all.set({line, offset}, true);
        }
    }
    return all;
}

/// Cells of a level that thinking `without` away breaks.
std::uint64_t broken_cells(const removed_cell& without, std::uint32_t width, std::uint32_t level)
{
    if (width != without.width_level || level > without.enclosing_level) {
        return 0;
    }
    return level <= without.level ? std::uint64_t{1} << (without.level - level) : 1;
}

bool fits(const cell_index& hardware, std::span<const guarantee_line> lines)
{
    const auto missing = shortfall(hardware, demands_of(lines));
    return std::ranges::all_of(missing, [](std::uint32_t count) { return count == 0; });
}

/// Lines without any one of which the last would fit.
std::string colliding(const cell_index& hardware, const std::vector<guarantee_line>& lines)
{
    std::string names;
    for (std::size_t left_out = 0; left_out + 1 < lines.size(); ++left_out) {
        auto others = lines;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(left_out));
        if (fits(hardware, others)) {
            names += fmt::format("{}line {} '{}'", names.empty() ? "" : ", ",
                                 lines[left_out].line->line_number, lines[left_out].line->text);
        }
    }
    return names;
}

base::error infeasible(const cell_index& hardware, const std::vector<guarantee_line>& lines)
{
    const auto& last = lines.back();
    const auto& shape = last.rule->guaranteed;
    const std::vector<guarantee_line> alone{last};
    auto detail =
        fmt::format("{} of {}x{} in '{}' can't be met at once with the lines above it",
                    last.rule->count, shape.members, shape.accelerators, last.rule->failure_domain);
    if (!fits(hardware, alone)) {
        detail =
            fmt::format("'{}' does not have {} adjacent cells of {}x{}", last.rule->failure_domain,
                        last.rule->count, shape.members, shape.accelerators);
    } else if (const auto names = colliding(hardware, lines); !names.empty()) {
        detail += "; it collides with any one of: " + names;
    }
    return {base::error_code::rules_infeasible, fmt::format("rules:{}", last.line->line_number),
            detail, ""};
}

} // namespace

std::vector<std::uint32_t> shortfall(const cell_index& available,
                                     std::span<const cell_demand> demands,
                                     const std::optional<removed_cell>& without)
{
    /// Accelerators taken by larger demands, by width level.
    std::vector<std::uint64_t> taken(available.top_width_level() + std::size_t{1});
    std::vector<std::uint32_t> missing;
    for (const auto& demand : demands) {
        auto left = demand.count;
        for (auto width = demand.need.width_level; width < taken.size() && left > 0; ++width) {
            auto cells = std::uint64_t{available.count(width, demand.need.level)};
            cells -= without ? broken_cells(*without, width, demand.need.level) : 0;
            const auto used = taken[width] >> demand.need.level;
            const auto use =
                static_cast<std::uint32_t>(std::min<std::uint64_t>(left, cells - used));
            taken[width] += std::uint64_t{use} << demand.need.level;
            left -= use;
        }
        missing.push_back(left);
    }
    return missing;
}

std::vector<base::error> check_guarantees(const rules::ruleset& rules,
                                          std::span<const domain_hardware> domains)
{
    std::vector<base::error> errors;
    for (const auto& domain : domains) {
        const auto hardware = whole_hardware(domain.hardware);
        std::vector<guarantee_line> lines;
        for (const auto& line : rules.lines) {
            const auto* const rule = std::get_if<rules::guarantee_rule>(&line.body);
            if (rule == nullptr || rule->failure_domain != domain.failure_domain) {
                continue;
            }
            lines.push_back({&line, rule});
            if (!fits(hardware, lines)) {
                errors.push_back(infeasible(hardware, lines));
                break;
            }
        }
    }
    return errors;
}

} // namespace poplarstile::placement
