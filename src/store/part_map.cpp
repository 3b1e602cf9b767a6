#include "store/part_map.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace poplarstile::store
{

part_map::part_map(std::string_view name, std::size_t count)
{
    for (std::size_t index = 0; index < std::max<std::size_t>(count, 1); ++index) {
        names_.push_back(fmt::format("{}-{}", name, index));
    }
}

std::size_t part_map::index_of(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::find(names_, name) - names_.begin());
}

std::size_t part_map::home_of(std::string_view job) const
{
    return XXH64(job.data(), job.size(), 0) % names_.size();
}

} // namespace poplarstile::store
