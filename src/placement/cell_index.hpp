#pragma once

#include "placement/topology.hpp"

#include <optional>
#include <set>
#include <vector>

namespace poplarstile::placement
{

/// A set of accelerators with, kept up to date, the cells that lie whole inside it: a buddy system
/// (Knowlton, CACM 1965) over each line. Adding and removing cost one step a level.
class cell_index
{
public:
    explicit cell_index(const topology& hardware);

    void set(const accelerator_place& place, bool member);
    [[nodiscard]] bool contains(const accelerator_place& place) const;
    /// True when every accelerator of the cell exists and is in the set.
    [[nodiscard]] bool contains(const cell& whole) const;

    /// Whole cells of a level on lines of exactly this width level, overlaps with larger included.
    [[nodiscard]] std::uint32_t count(std::uint32_t width_level, std::uint32_t level) const;

    /// A cell of the smallest maximal cell that the need fits: it leaves larger cells whole.
    [[nodiscard]] std::optional<cell> best_fit(const cell_need& need) const;

    /// Calls `visit` with a cell of each maximal cell that the need fits, smallest first, until it
    /// returns true; tells whether it did.
    template <class Visitor>
    bool any_fit(const cell_need& need, Visitor visit) const
    {
        for (auto level = need.level; level < levels_; ++level) {
            for (auto width = need.width_level; width <= top_width_level_; ++width) {
                for (const auto& whole : maximal_[slot(width, level)]) {
                    if (visit(cell{whole.line, whole.first, need.level})) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /// Level of the largest cell in the set that holds this one; its own when it is not in the set.
    [[nodiscard]] std::uint32_t enclosing_level(const cell& inner) const;

    /// Largest level of a whole cell on lines at least this wide; nothing when the set is empty.
    [[nodiscard]] std::optional<std::uint32_t> largest_level(std::uint32_t width_level) const;

    [[nodiscard]] std::uint32_t top_width_level() const
    {
        return top_width_level_;
    }

private:
    struct line_bits {
        std::uint32_t width_level = 0;
        /// For each level, whether each cell is whole inside the set.
        std::vector<std::vector<bool>> levels{};
    };

    [[nodiscard]] std::set<cell>& maximal(std::uint32_t width_level, std::uint32_t level);
    [[nodiscard]] std::uint32_t& counter(std::uint32_t width_level, std::uint32_t level);
    [[nodiscard]] std::size_t slot(std::uint32_t width_level, std::uint32_t level) const;
    void add(const accelerator_place& place);
    void remove(const accelerator_place& place);

    std::uint32_t levels_ = 0;
    std::uint32_t top_width_level_ = 0;
    std::vector<line_bits> lines_;
    std::vector<std::uint32_t> counts_;
    /// Cells whose enclosing cell is not whole, by width and level.
    std::vector<std::set<cell>> maximal_;
};

} // namespace poplarstile::placement
