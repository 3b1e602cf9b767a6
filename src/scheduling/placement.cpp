#include "scheduling/placement.hpp"

#include <algorithm>
#include <numeric>

namespace poplarstile::scheduling
{
namespace
{

/// Aligned free blocks of `size` accelerators on one worker.
std::vector<std::vector<std::uint32_t>> free_blocks(const worker_capacity& worker,
                                                    std::uint32_t size)
{
    std::vector<std::vector<std::uint32_t>> blocks;
    if (!worker.usable) {
        return blocks;
    }
    for (std::uint32_t first = 0; first + size <= worker.accelerators; first += size) {
        std::vector<std::uint32_t> block(size);
        std::iota(block.begin(), block.end(), first);
        if (std::ranges::all_of(block, [&worker](std::uint32_t at) { return worker.free[at]; })) {
            blocks.push_back(std::move(block));
        }
    }
    return blocks;
}

bool next_to_each_other(const worker_capacity& left, const worker_capacity& right)
{
    return left.rack == right.rack && left.position + 1 == right.position;
}

/// Takes members from consecutive workers beginning at `first`.
std::optional<std::vector<member_place>> places_from(std::span<const worker_capacity> workers,
                                                     std::size_t first, const rules::shape& wanted)
{
    std::vector<member_place> places;
    for (std::size_t index = first; index < workers.size(); ++index) {
        if (index > first && !next_to_each_other(workers[index - 1], workers[index])) {
            return std::nullopt;
        }
        auto blocks = free_blocks(workers[index], wanted.accelerators);
        if (blocks.empty()) {
            return std::nullopt;
        }
        for (auto& block : blocks) {
            places.push_back({index, std::move(block)});
            if (places.size() == wanted.members) {
                return places;
            }
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<member_place>>
find_adjacent_places(std::span<const worker_capacity> workers, const rules::shape& wanted)
{
    for (std::size_t first = 0; first < workers.size(); ++first) {
        if (auto places = places_from(workers, first, wanted)) {
            return places;
        }
    }
    return std::nullopt;
}

} // namespace poplarstile::scheduling
