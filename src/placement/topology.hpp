#pragma once

#include "rules/ruleset.hpp"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// Which accelerators are adjacent, and what runs on them.
namespace poplarstile::placement
{

/// A worker as the hardware has it.
struct worker_hardware {
    std::string id{};
    std::string rack{};
    /// Place in its rack; neighbours have consecutive numbers.
    std::uint32_t position = 0;
    std::uint32_t accelerators = 0;
};

/// Adjacent workers with equally many accelerators; their accelerators are numbered through.
struct worker_line {
    std::size_t first_worker = 0;
    std::uint32_t workers = 0;
    /// Accelerators of each worker.
    std::uint32_t width = 0;

    [[nodiscard]] std::uint32_t size() const
    {
        return workers * width;
    }
};

/// `2^level` accelerators of a line, the first of them at a multiple of that number. Two cells are
/// either disjoint or one holds the other.
struct cell {
    std::uint32_t line = 0;
    std::uint32_t first = 0;
    std::uint32_t level = 0;

    [[nodiscard]] std::uint32_t size() const
    {
        return std::uint32_t{1} << level;
    }
    [[nodiscard]] bool holds(const cell& other) const;
    [[nodiscard]] bool overlaps(const cell& other) const
    {
        return holds(other) || other.holds(*this);
    }
    auto operator<=>(const cell&) const = default;
};

/// One accelerator: its line and its number there.
struct accelerator_place {
    std::uint32_t line = 0;
    std::uint32_t offset = 0;
};

/// What a shape asks of a cell: sizes are rounded up to powers of two, so that cells nest.
struct cell_need {
    std::uint32_t level = 0;
    /// Logarithm of the accelerators that one worker must have for one member.
    std::uint32_t width_level = 0;

    auto operator<=>(const cell_need&) const = default;
};

[[nodiscard]] cell_need need_of(const rules::shape& wanted);

/// The adjacency of a failure domain's workers: accelerators, pairs, fours, workers, adjacent
/// workers, racks and adjacent racks, as aligned cells of lines.
///
/// Workers of one rack with consecutive positions and equal numbers of accelerators are a line.
/// Racks that are one line each, of the same power of two of workers, are adjacent in the order in
/// which they are first named, and are joined into one line.
class topology
{
public:
    [[nodiscard]] static topology create(std::span<const worker_hardware> workers);

    /// In the order of racks and positions; indices of workers refer to this order.
    [[nodiscard]] std::span<const worker_hardware> workers() const
    {
        return workers_;
    }
    [[nodiscard]] std::span<const worker_line> lines() const
    {
        return lines_;
    }
    [[nodiscard]] accelerator_place place_of(std::size_t worker, std::uint32_t accelerator) const;
    [[nodiscard]] std::size_t worker_at(const accelerator_place& place) const;
    [[nodiscard]] std::uint32_t accelerator_at(const accelerator_place& place) const;
    /// Logarithm, rounded up, of the accelerators of each worker of the line.
    [[nodiscard]] std::uint32_t width_level(std::uint32_t line) const;
    /// The greatest level of any cell.
    [[nodiscard]] std::uint32_t top_level() const
    {
        return top_level_;
    }
    /// True when some cell, or the part of one that the shape uses, exists.
    [[nodiscard]] bool can_hold(const rules::shape& wanted) const;

private:
    std::vector<worker_hardware> workers_;
    std::vector<worker_line> lines_;
    std::vector<std::uint32_t> line_of_worker_;
    std::uint32_t top_level_ = 0;
};

/// One member of a gang: index of its worker in the topology, and its accelerators there.
struct member_place {
    std::size_t worker = 0;
    std::vector<std::uint32_t> accelerators{};
};

/// Offsets in the line that a shape uses of a cell, member by member.
[[nodiscard]] std::vector<std::uint32_t> footprint(const cell& where, const rules::shape& wanted);

/// The same as places on workers.
[[nodiscard]] std::vector<member_place> member_places(const topology& hardware, const cell& where,
                                                      const rules::shape& wanted);

} // namespace poplarstile::placement
