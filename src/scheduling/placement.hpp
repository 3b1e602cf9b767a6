#pragma once

#include "rules/ruleset.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

/// Where the members of a gang go.
namespace poplarstile::scheduling
{

/// The accelerators of one worker that could be taken now.
struct worker_capacity {
    std::string rack{};
    std::uint32_t position = 0;
    std::uint32_t accelerators = 0;
    /// One entry for each accelerator: true when it is free and whole.
    std::vector<bool> free{};
    /// False when the worker takes no new tasks.
    bool usable = true;
};

/// One member of a gang: index of its worker in the span given, and its accelerators there.
struct member_place {
    std::size_t worker = 0;
    std::vector<std::uint32_t> accelerators{};
};

/// Places for all members on consecutive workers of one rack, or nothing. Accelerators of a member
/// are an aligned block. `workers` is sorted by rack and position.
[[nodiscard]] std::optional<std::vector<member_place>>
find_adjacent_places(std::span<const worker_capacity> workers, const rules::shape& wanted);

} // namespace poplarstile::scheduling
