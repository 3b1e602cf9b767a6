#include "placement/topology.hpp"

#include <algorithm>
#include <bit>
#include <map>

namespace poplarstile::placement
{
namespace
{

/// Workers of one rack, and the lines they form.
struct rack_lines {
    std::vector<worker_line> lines{};
};

std::uint32_t rounded_level(std::uint32_t size)
{
    return static_cast<std::uint32_t>(std::bit_width(std::bit_ceil(std::max(size, 1U))) - 1);
}

std::uint32_t floor_level(std::uint32_t size)
{
    return static_cast<std::uint32_t>(std::bit_width(std::max(size, 1U)) - 1);
}

bool continues(const worker_hardware& left, const worker_hardware& right)
{
    // Blocks of a width that is no power of two would not be aligned over several workers.
    return left.rack == right.rack && left.position + 1 == right.position &&
           left.accelerators == right.accelerators && std::has_single_bit(left.accelerators);
}

std::vector<worker_line> lines_within_racks(std::span<const worker_hardware> workers)
{
    std::vector<worker_line> lines;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (index > 0 && continues(workers[index - 1], workers[index])) {
            ++lines.back().workers;
        } else {
            lines.push_back({index, 1, workers[index].accelerators});
        }
    }
    return lines;
}

/// Joins racks that are whole, equal lines.
std::vector<worker_line> join_racks(std::span<const worker_hardware> workers,
                                    const std::vector<worker_line>& lines)
{
    std::map<std::string_view, std::uint32_t> lines_of_rack;
    for (const auto& line : lines) {
        ++lines_of_rack[workers[line.first_worker].rack];
    }
    std::vector<worker_line> joined;
    std::uint32_t joinable_workers = 0;
    for (const auto& line : lines) {
        const bool whole = lines_of_rack[workers[line.first_worker].rack] == 1 &&
                           std::has_single_bit(line.workers) && std::has_single_bit(line.width);
        const bool joins =
            whole && joinable_workers == line.workers && joined.back().width == line.width;
        if (joins) {
            joined.back().workers += line.workers;
        } else {
            joined.push_back(line);
        }
        joinable_workers = whole ? line.workers : 0;
    }
    return joined;
}

} // namespace

bool cell::holds(const cell& other) const
{
    return line == other.line && level >= other.level && (other.first >> level) == (first >> level);
}

cell_need need_of(const rules::shape& wanted)
{
    const auto width = rounded_level(wanted.accelerators);
    return {rounded_level(wanted.members) + width, width};
}

topology topology::create(std::span<const worker_hardware> workers)
{
    std::map<std::string_view, std::size_t> rack_order;
    for (const auto& worker : workers) {
        rack_order.try_emplace(worker.rack, rack_order.size());
    }
    topology built;
    built.workers_.assign(workers.begin(), workers.end());
    std::erase_if(built.workers_,
                  [](const worker_hardware& worker) { return worker.accelerators == 0; });
    std::ranges::stable_sort(built.workers_, [&](const worker_hardware& left,
                                                 const worker_hardware& right) {
        const auto left_rack = rack_order.at(left.rack);
        const auto right_rack = rack_order.at(right.rack);
        return left_rack != right_rack ? left_rack < right_rack : left.position < right.position;
    });
    built.lines_ = join_racks(built.workers_, lines_within_racks(built.workers_));
    for (std::uint32_t line = 0; line < built.lines_.size(); ++line) {
        const auto& found = built.lines_[line];
        built.line_of_worker_.insert(built.line_of_worker_.end(), found.workers, line);
        built.top_level_ = std::max(built.top_level_, floor_level(found.size()));
    }
    return built;
}

accelerator_place topology::place_of(std::size_t worker, std::uint32_t accelerator) const
{
    const auto line = line_of_worker_.at(worker);
    const auto& found = lines_[line];
    const auto before = static_cast<std::uint32_t>(worker - found.first_worker);
    return {line, before * found.width + accelerator};
}

std::size_t topology::worker_at(const accelerator_place& place) const
{
    const auto& found = lines_[place.line];
    return found.first_worker + place.offset / found.width;
}

std::uint32_t topology::accelerator_at(const accelerator_place& place) const
{
    return place.offset % lines_[place.line].width;
}

std::uint32_t topology::width_level(std::uint32_t line) const
{
    return rounded_level(lines_[line].width);
}

bool topology::can_hold(const rules::shape& wanted) const
{
    const auto need = need_of(wanted);
    for (std::uint32_t line = 0; line < lines_.size(); ++line) {
        if (width_level(line) < need.width_level) {
            continue;
        }
        const auto used = footprint({line, 0, need.level}, wanted);
        if (!used.empty() && used.back() < lines_[line].size()) {
            return true;
        }
    }
    return false;
}

std::vector<std::uint32_t> footprint(const cell& where, const rules::shape& wanted)
{
    const auto stride = std::uint32_t{1} << need_of(wanted).width_level;
    std::vector<std::uint32_t> used;
    used.reserve(wanted.total());
    for (std::uint32_t member = 0; member < wanted.members; ++member) {
        for (std::uint32_t at = 0; at < wanted.accelerators; ++at) {
            used.push_back(where.first + member * stride + at);
        }
    }
    return used;
}

std::vector<member_place> member_places(const topology& hardware, const cell& where,
                                        const rules::shape& wanted)
{
    std::vector<member_place> places;
    const auto used = footprint(where, wanted);
    for (std::size_t at = 0; at < used.size(); ++at) {
        const accelerator_place place{where.line, used[at]};
        if (at % wanted.accelerators == 0) {
            places.push_back({hardware.worker_at(place), {}});
        }
        places.back().accelerators.push_back(hardware.accelerator_at(place));
    }
    return places;
}

} // namespace poplarstile::placement
