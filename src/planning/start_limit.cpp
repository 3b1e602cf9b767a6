#include "planning/start_limit.hpp"

#include <utility>

namespace poplarstile::planning
{

limited_starts limit_starts(std::span<const work_unit> units, std::vector<placed_unit> placed,
                            std::size_t under_way, std::size_t most)
{
    limited_starts limited;
    for (auto& unit : placed) {
        const auto tasks = unit.tasks.size();
        const auto room = most > under_way ? most - under_way : 0;
        const bool gang = units[unit.unit].spec->gang;
        if (!gang && tasks > room) {
            unit.tasks.resize(room);
        }
        if (room == 0) {
            limited.held_back += tasks;
            continue;
        }
        limited.held_back += tasks - unit.tasks.size();
        under_way += unit.tasks.size();
        limited.starts.push_back(std::move(unit));
    }
    return limited;
}

} // namespace poplarstile::planning
