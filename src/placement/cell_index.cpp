#include "placement/cell_index.hpp"

#include <algorithm>

namespace poplarstile::placement
{

cell_index::cell_index(const topology& hardware) : levels_{hardware.top_level() + 1}
{
    const auto lines = hardware.lines();
    for (std::uint32_t line = 0; line < lines.size(); ++line) {
        line_bits bits{.width_level = hardware.width_level(line)};
        for (auto cells = lines[line].size(); cells > 0; cells /= 2) {
            bits.levels.emplace_back(cells, false);
        }
        top_width_level_ = std::max(top_width_level_, bits.width_level);
        lines_.push_back(std::move(bits));
    }
    const auto slots = std::size_t{top_width_level_ + 1} * levels_;
    counts_.resize(slots);
    maximal_.resize(slots);
}

std::size_t cell_index::slot(std::uint32_t width_level, std::uint32_t level) const
{
    return std::size_t{width_level} * levels_ + level;
}

std::set<cell>& cell_index::maximal(std::uint32_t width_level, std::uint32_t level)
{
    return maximal_[slot(width_level, level)];
}

std::uint32_t& cell_index::counter(std::uint32_t width_level, std::uint32_t level)
{
    return counts_[slot(width_level, level)];
}

std::uint32_t cell_index::count(std::uint32_t width_level, std::uint32_t level) const
{
    const bool exists = width_level <= top_width_level_ && level < levels_;
    return exists ? counts_[slot(width_level, level)] : 0;
}

bool cell_index::contains(const accelerator_place& place) const
{
    return lines_[place.line].levels.front()[place.offset];
}

bool cell_index::contains(const cell& whole) const
{
    const auto& levels = lines_[whole.line].levels;
    if (whole.level >= levels.size()) {
        return false;
    }
    const auto& row = levels[whole.level];
    const auto at = whole.first >> whole.level;
    return at < row.size() && row[at];
}

void cell_index::set(const accelerator_place& place, bool member)
{
    if (contains(place) == member) {
        return;
    }
    if (member) {
        add(place);
    } else {
        remove(place);
    }
}

void cell_index::add(const accelerator_place& place)
{
    auto& line = lines_[place.line];
    for (std::uint32_t level = 0; level < line.levels.size(); ++level) {
        auto& row = line.levels[level];
        const auto at = place.offset >> level;
        row[at] = true;
        ++counter(line.width_level, level);
        const auto buddy = at ^ 1U;
        const bool merges = buddy < row.size() && row[buddy] && level + 1 < line.levels.size() &&
                            (at >> 1U) < line.levels[level + 1].size();
        if (!merges) {
            maximal(line.width_level, level).insert({place.line, at << level, level});
            return;
        }
        maximal(line.width_level, level).erase({place.line, buddy << level, level});
    }
}

void cell_index::remove(const accelerator_place& place)
{
    auto& line = lines_[place.line];
    for (std::uint32_t level = 0; level < line.levels.size(); ++level) {
        auto& row = line.levels[level];
        const auto at = place.offset >> level;
        row[at] = false;
        --counter(line.width_level, level);
        const bool parent_whole = level + 1 < line.levels.size() &&
                                  (at >> 1U) < line.levels[level + 1].size() &&
                                  line.levels[level + 1][at >> 1U];
        if (!parent_whole) {
            maximal(line.width_level, level).erase({place.line, at << level, level});
            return;
        }
        maximal(line.width_level, level).insert({place.line, (at ^ 1U) << level, level});
    }
}

std::optional<cell> cell_index::best_fit(const cell_need& need) const
{
    std::optional<cell> found;
    any_fit(need, [&found](const cell& fitting) {
        found = fitting;
        return true;
    });
    return found;
}

std::uint32_t cell_index::enclosing_level(const cell& inner) const
{
    auto level = inner.level;
    while (contains(cell{inner.line, inner.first, level + 1})) {
        ++level;
    }
    return level;
}

std::optional<std::uint32_t> cell_index::largest_level(std::uint32_t width_level) const
{
    std::optional<std::uint32_t> largest;
    for (auto width = width_level; width <= top_width_level_; ++width) {
        for (std::uint32_t level = 0; level < levels_; ++level) {
            if (count(width, level) > 0) {
                largest = std::max(largest.value_or(0), level);
            }
        }
    }
    return largest;
}

} // namespace poplarstile::placement
