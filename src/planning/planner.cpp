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

/// Late work stops others' work only up to this part of its own.
constexpr double most_loss_of_late_work = 0.5;

/// What a unit asked for that found no room in this plan.
struct failed_shape {
    const work_unit* unit = nullptr;

    /// True when `other` asks for no less in the same places, so that it finds no room either.
    [[nodiscard]] bool covers(const work_unit& other) const
    {
        const auto& mine = *unit->spec;
        const auto& its = *other.spec;
        const bool same_places = *unit->service == *other.service &&
                                 mine.required_label == its.required_label &&
                                 mine.one_rack == its.one_rack && mine.gang == its.gang;
        const bool same_claim =
            unit->guaranteed == other.guaranteed && unit->rank.priority == other.rank.priority &&
            unit->rank.late == other.rank.late && unit->rank.overdue == other.rank.overdue;
        return same_places && same_claim && mine.max_per_worker == 0 && mine.need.fits(its.need) &&
               unit->tasks.size() <= other.tasks.size();
    }
};

/// One run through the units.
class plan_builder
{
public:
    plan_builder(std::span<const work_unit> units, std::vector<worker_candidate> workers,
                 std::span<const victim> victims)
        : units_{units}, site_{std::move(workers)}, book_{victims, site_.workers().size()}
    {
    }

    plan run()
    {
        std::vector<std::size_t> order(units_.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, [this](std::size_t one, std::size_t other) {
            return goes_before(units_[one].rank, units_[other].rank);
        });
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
        const bool hopeless = std::ranges::any_of(
            failed_, [&](const failed_shape& failed) { return failed.covers(unit); });
        if (hopeless) {
            return;
        }
        if (auto placed = place_whole(unit, site_, room_kind::free)) {
            start(index, unit, std::move(*placed));
            return;
        }
        if (unit.rank.overdue) {
            finish_somehow(index, unit);
            return;
        }
        if (auto placed = place_whole(unit, site_, room_kind::free_after_stops)) {
            reserve(index, unit, *placed);
            return;
        }
        if (!reclaim(index, unit)) {
            failed_.push_back({&unit});
        }
    }

    /// Overdue work no longer waits for one rack: it would keep its caller waiting for ever.
    /// Load pattern: half the room is free and no rack is.
    void finish_somehow(std::size_t index, const work_unit& unit)
    {
        if (auto placed = place_scattered(unit, site_, room_kind::free)) {
            start(index, unit, std::move(*placed));
        } else {
            failed_.push_back({&unit});
        }
    }

    void consider_tasks(std::size_t index, const work_unit& unit)
    {
        auto placed = place_each(unit, site_, room_kind::free, data_side::near);
        const auto missing = unit.tasks.size() - placed.size();
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
        if (missing > 0 && unit.rank.priority == urgent_priority) {
            auto rest = unit;
            rest.tasks.assign(unit.tasks.end() - static_cast<std::ptrdiff_t>(missing),
                              unit.tasks.end());
            if (auto coming = place_whole(rest, site_, room_kind::free_after_stops)) {
                reserve(index, rest, *coming);
            } else {
                (void)reclaim(index, rest);
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
        auto placed = place_each(rest, site_, room_kind::free, data_side::away);
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
    }

    /// Stops others' work for the unit; false when that is not worth it or not enough.
    [[nodiscard]] bool reclaim(std::size_t index, const work_unit& unit)
    {
        const bool entitled = unit.rank.priority == urgent_priority && !unit.rank.overdue;
        if (!entitled) {
            return false;
        }
        const auto found = plan_reclaim(unit, site_, book_);
        const bool too_dear =
            found && unit.rank.late && found->loss > unit.work * most_loss_of_late_work;
        if (!found || too_dear) {
            return false;
        }
        for (const auto stop : found->victims) {
            book_.stop(stop);
            made_.stops.push_back(stop);
            site_.release(book_.all()[stop]);
        }
        reserve(index, unit, found->tasks);
        // What the victims held beyond this unit's need is room for others.
        failed_.clear();
        return true;
    }

    void start(std::size_t index, const work_unit& unit, std::vector<assignment> tasks)
    {
        site_.take(unit, tasks);
        made_.starts.push_back({index, std::move(tasks)});
    }

    /// Keeps room for the unit; what is free of it is not given to others meanwhile.
    void reserve(std::size_t index, const work_unit& unit, std::span<const assignment> tasks)
    {
        site_.take(unit, tasks);
        made_.reserved.push_back(index);
    }

    std::span<const work_unit> units_;
    site_view site_;
    victim_book book_;
    std::vector<failed_shape> failed_{};
    plan made_{};
};

} // namespace

plan make_plan(std::span<const work_unit> units, std::vector<worker_candidate> workers,
               std::span<const victim> victims)
{
    return plan_builder{units, std::move(workers), victims}.run();
}

} // namespace poplarstile::planning
