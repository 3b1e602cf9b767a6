#include "planning/planner.hpp"

#include "planning/placement.hpp"
#include "planning/reclaim.hpp"

#include <algorithm>
#include <numeric>

namespace poplarstile::planning
{
namespace
{

/// Work of this priority may take the room of the others.
constexpr std::uint32_t urgent_priority = 0;

/// One run through the units.
class plan_builder
{
public:
    plan_builder(std::span<const work_unit> units, std::vector<worker_room> workers,
                 std::span<const victim> victims)
        : units_{units}, workers_{std::move(workers)}, victims_{victims}, stopped_(victims.size())
    {
    }

    plan run()
    {
        std::vector<std::size_t> order(units_.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, {},
                                 [this](std::size_t index) { return units_[index].rank; });
        for (const auto index : order) {
            consider(index);
        }
        for (const auto index : order) {
            consider_away_from_data(index);
        }
        return std::move(made_);
    }

private:
    void consider(std::size_t index)
    {
        const auto& unit = units_[index];
        if (unit.spec->gang) {
            consider_gang(index, unit);
        } else {
            consider_tasks(index, unit);
        }
    }

    void consider_gang(std::size_t index, const work_unit& unit)
    {
        if (auto placed = place_whole(unit, workers_, room_kind::free)) {
            start(index, unit, std::move(*placed));
            return;
        }
        if (auto placed = place_whole(unit, workers_, room_kind::coming)) {
            reserve(index, unit, *placed);
            return;
        }
        reclaim(index, unit);
    }

    void consider_tasks(std::size_t index, const work_unit& unit)
    {
        auto placed = place_each(unit, workers_, room_kind::free, false);
        const auto missing = unit.tasks.size() - placed.size();
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
        if (missing > 0 && unit.priority == urgent_priority) {
            auto rest = unit;
            rest.tasks.assign(unit.tasks.end() - static_cast<std::ptrdiff_t>(missing),
                              unit.tasks.end());
            if (auto coming = place_whole(rest, workers_, room_kind::coming)) {
                reserve(index, rest, *coming);
            } else {
                reclaim(index, rest);
            }
        }
    }

    /// Work whose data's rack is full goes elsewhere only when nobody else wants the room.
    void consider_away_from_data(std::size_t index)
    {
        const auto& unit = units_[index];
        if (unit.spec->gang || unit.spec->data_rack.empty()) {
            return;
        }
        auto rest = unit;
        for (const auto& started : made_.starts) {
            if (started.unit == index) {
                std::erase_if(rest.tasks, [&started](std::uint32_t task) {
                    return std::ranges::find(started.tasks, task, &assignment::task) !=
                           started.tasks.end();
                });
            }
        }
        auto placed = place_each(rest, workers_, room_kind::free, true);
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
    }

    void reclaim(std::size_t index, const work_unit& unit)
    {
        if (unit.priority != urgent_priority) {
            return;
        }
        const auto found = plan_reclaim(unit, workers_, victims_, stopped_);
        if (!found) {
            return;
        }
        for (const auto stop : found->victims) {
            stopped_[stop] = true;
            made_.stops.push_back(stop);
            for (const auto& holding : victims_[stop].holdings) {
                workers_[holding.worker].coming += holding.need;
            }
        }
        reserve(index, unit, found->tasks);
    }

    void start(std::size_t index, const work_unit& unit, std::vector<assignment> tasks)
    {
        take_room(unit, tasks, workers_);
        made_.starts.push_back({index, std::move(tasks)});
    }

    /// Keeps room for the unit; what is free of it is not given to others meanwhile.
    void reserve(std::size_t index, const work_unit& unit, std::span<const assignment> tasks)
    {
        take_room(unit, tasks, workers_);
        made_.reserved.push_back(index);
    }

    std::span<const work_unit> units_;
    std::vector<worker_room> workers_;
    std::span<const victim> victims_;
    std::vector<bool> stopped_;
    plan made_{};
};

} // namespace

plan make_plan(std::span<const work_unit> units, std::vector<worker_room> workers,
               std::span<const victim> victims)
{
    return plan_builder{units, std::move(workers), victims}.run();
}

} // namespace poplarstile::planning
