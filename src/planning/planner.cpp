#include "planning/planner.hpp"

#include "planning/isolation.hpp"
#include "planning/isolation_beyond_limit.hpp"
#include "planning/placement.hpp"
#include "planning/preemption.hpp"
#include "planning/progress.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace poplarstile::planning
{
namespace
{

/// Late work may cause a loss of at most this fraction of its own work.
constexpr double max_loss_fraction_of_late_work = 0.5;

bool may_preempt_others(const work_unit& unit)
{
    return unit.rank.priority == urgent_priority && !unit.rank.overdue;
}

/// Request of a unit for which this plan found no capacity.
struct failed_request {
    const work_unit* unit = nullptr;

    /// True when `other` asks for at least as much on the same workers, so that it would fail too.
    [[nodiscard]] bool implies_failure_of(const work_unit& other) const
    {
        const auto& failed_spec = *unit->spec;
        const auto& other_spec = *other.spec;
        const bool same_workers = *unit->service == *other.service &&
                                  failed_spec.required_label == other_spec.required_label &&
                                  failed_spec.one_rack == other_spec.one_rack &&
                                  failed_spec.gang == other_spec.gang;
        const bool same_rank =
            unit->guaranteed == other.guaranteed && unit->rank.priority == other.rank.priority &&
            unit->rank.late == other.rank.late && unit->rank.overdue == other.rank.overdue &&
            no_longer_waits_for_a_rack(*unit) == no_longer_waits_for_a_rack(other);
        return same_workers && same_rank && failed_spec.max_per_worker == 0 &&
               failed_spec.need.fits(other_spec.need) && unit->tasks.size() <= other.tasks.size();
    }
};

/// Builds one plan from the units, in the order of their rank.
class plan_builder
{
public:
    plan_builder(std::span<const work_unit> units, std::vector<worker_candidate> workers,
                 std::span<const victim> victims)
        : units_{units}, view_{std::move(workers)}, victims_{victims, view_.workers().size()},
          mostly_free_{mostly_free_services(view_.workers())}
    {
    }

    plan build()
    {
        std::vector<std::size_t> order(units_.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::stable_sort(order, [this](std::size_t one, std::size_t other) {
            return ranks_before(units_[one].rank, units_[other].rank);
        });
        hold_back_for_isolated_units();
        std::erase_if(order, [this](std::size_t index) { return isolation_.isolated[index]; });
        consider_all(order);
        for (const auto index : order) {
            consider_other_racks(index);
        }
        start_isolated_units();
        start_isolated_units_beyond_limit();
        start_long_waiting(order);
        return std::move(plan_);
    }

private:
    void hold_back_for_isolated_units()
    {
        isolation_ = plan_isolation(units_, view_);
        for (const auto& held : isolation_.held) {
            view_.hold_back(held.workers);
        }
    }

    /// Starts isolated units after all others, on the workers that guaranteed units have left to
    /// them.
    void start_isolated_units()
    {
        for (const auto& held : isolation_.held) {
            const auto& unit = units_[held.unit];
            auto placed = place_isolated(unit, held.workers, view_);
            if (!placed.empty()) {
                start_isolated(held.unit, std::move(placed));
            }
        }
    }

    /// Starts isolated units for which the limit left no workers on idle ones that no unit of this
    /// plan wanted, in the order of their acceptance.
    void start_isolated_units_beyond_limit()
    {
        std::set<std::string_view> closed_services;
        for (const auto index : isolation_.order) {
            const auto& unit = units_[index];
            if (has_start(index) || closed_services.contains(*unit.service)) {
                continue;
            }
            auto placed = place_beyond_limit(unit, held_for_others(index), view_);
            if (!placed.empty()) {
                start_isolated(index, std::move(placed));
            } else if (is_no_longer_passed(unit)) {
                closed_services.insert(*unit.service);
            }
        }
    }

    /// Workers that are held back for other isolated units which this plan has not started.
    [[nodiscard]] std::vector<std::size_t> held_for_others(std::size_t index) const
    {
        std::vector<std::size_t> workers;
        for (const auto& held : isolation_.held) {
            if (held.unit != index && !has_start(held.unit)) {
                workers.insert(workers.end(), held.workers.begin(), held.workers.end());
            }
        }
        return workers;
    }

    [[nodiscard]] bool has_start(std::size_t index) const
    {
        return std::ranges::find(plan_.starts, index, &placed_unit::unit) != plan_.starts.end();
    }

    void start_isolated(std::size_t index, std::vector<assignment> tasks)
    {
        start(index, units_[index], std::move(tasks));
        plan_.starts.back().isolated = true;
        view_.close(plan_.starts.back().tasks);
    }

    /// Starts units that have waited for long on free capacity of any rack, also that which is held
    /// back for units that can't use it yet, while their service is mostly free.
    void start_long_waiting(std::span<const std::size_t> order)
    {
        const auto waits = [this](std::size_t index) {
            const auto& unit = units_[index];
            return takes_any_free_capacity(unit) && mostly_free_.contains(*unit.service) &&
                   !(unit.spec->gang && has_start(index)) &&
                   std::ranges::find(plan_.reserved, index) == plan_.reserved.end();
        };
        if (std::ranges::none_of(order, waits)) {
            return;
        }
        view_.end_hold_back();
        for (const auto index : order) {
            if (!waits(index)) {
                continue;
            }
            const auto& unit = units_[index];
            if (!unit.spec->gang) {
                start_individually(index, data_locality::local);
                start_individually(index, data_locality::remote);
            } else if (auto placed = place_across_racks(unit, view_, capacity_kind::free)) {
                start(index, unit, std::move(*placed));
            }
        }
    }

    /// Considers the units in their order, in which urgent ones that are not overdue come first.
    void consider_all(std::span<const std::size_t> order)
    {
        const auto first_other = std::ranges::find_if(order, [this](std::size_t index) {
            const auto& rank = units_[index].rank;
            return rank.overdue || rank.priority != urgent_priority;
        });
        for (auto next = order.begin(); next != order.end(); ++next) {
            if (next == first_other) {
                view_.withhold_urgent_capacity();
            }
            consider(*next);
        }
    }

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
        const bool known_to_fail = std::ranges::any_of(
            failed_, [&](const failed_request& failed) { return failed.implies_failure_of(unit); });
        if (known_to_fail) {
            return;
        }
        if (auto placed = place_all(unit, view_, capacity_kind::free)) {
            start(index, unit, std::move(*placed));
            return;
        }
        if (unit.rank.overdue) {
            start_across_racks(index, unit);
            return;
        }
        if (no_longer_waits_for_a_rack(unit)) {
            if (auto placed = place_across_racks(unit, view_, capacity_kind::free)) {
                start(index, unit, std::move(*placed));
                return;
            }
        }
        if (auto placed = place_all(unit, view_, capacity_kind::free_after_stops)) {
            reserve(index, unit, *placed);
            return;
        }
        if (!preempt(index, unit)) {
            failed_.push_back({&unit});
        }
    }

    /// Overdue work no longer waits for one rack, since it might wait forever. Load pattern: half
    /// the capacity is free, but no rack has enough of it.
    void start_across_racks(std::size_t index, const work_unit& unit)
    {
        if (auto placed = place_across_racks(unit, view_, capacity_kind::free)) {
            start(index, unit, std::move(*placed));
        } else {
            failed_.push_back({&unit});
        }
    }

    void consider_tasks(std::size_t index, const work_unit& unit)
    {
        auto placed = place_individually(unit, view_, capacity_kind::free, data_locality::local);
        const auto missing = unit.tasks.size() - placed.size();
        auto rest = unit;
        add_present(rest, placed);
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
        if (missing > 0 && unit.rank.priority == urgent_priority) {
            rest.tasks.assign(unit.tasks.end() - static_cast<std::ptrdiff_t>(missing),
                              unit.tasks.end());
            // Capacity that is free already is not reserved: it would be left idle.
            if (auto placed_now = place_all(rest, view_, capacity_kind::free)) {
                start(index, unit, std::move(*placed_now));
            } else if (auto placed_later =
                           place_all(rest, view_, capacity_kind::free_after_stops)) {
                reserve(index, rest, *placed_later);
            } else {
                (void)preempt(index, rest);
            }
        }
    }

    /// Tasks that do not fit on the rack of their data go to other racks only after all units were
    /// considered.
    void consider_other_racks(std::size_t index)
    {
        const auto& unit = units_[index];
        if (unit.spec->gang || unit.spec->data_rack.empty()) {
            return;
        }
        start_individually(index, data_locality::remote);
    }

    static void add_present(work_unit& unit, std::span<const assignment> tasks)
    {
        for (const auto& placed : tasks) {
            const auto found = std::ranges::find(unit.present, placed.worker,
                                                 &std::pair<std::size_t, std::uint32_t>::first);
            if (found == unit.present.end()) {
                unit.present.emplace_back(placed.worker, 1U);
            } else {
                ++found->second;
            }
        }
    }

    /// Starts as many as fit of the unit's tasks that this plan has not started.
    void start_individually(std::size_t index, data_locality side)
    {
        const auto& unit = units_[index];
        auto rest = unit;
        for (const auto& started : plan_.starts) {
            if (started.unit == index) {
                std::erase_if(rest.tasks, [&started](std::uint32_t task) {
                    return std::ranges::find(started.tasks, task, &assignment::task) !=
                           started.tasks.end();
                });
                add_present(rest, started.tasks);
            }
        }
        auto placed = place_individually(rest, view_, capacity_kind::free, side);
        if (!placed.empty()) {
            start(index, unit, std::move(placed));
        }
    }

    /// Preempts other work for the unit. Returns false when the unit may not preempt, when no set
    /// of victims is sufficient, or when the loss is too high.
    [[nodiscard]] bool preempt(std::size_t index, const work_unit& unit)
    {
        if (!may_preempt_others(unit)) {
            return false;
        }
        const auto found = plan_preemption(unit, view_, victims_);
        const bool too_costly =
            found && unit.rank.late && found->loss > unit.work * max_loss_fraction_of_late_work;
        if (!found || too_costly) {
            return false;
        }
        if (found->victims.empty()) {
            // Across racks there is capacity enough: reserved, it would be left idle.
            if (auto placed = place_across_racks(unit, view_, capacity_kind::free)) {
                start(index, unit, std::move(*placed));
                return true;
            }
        }
        for (const auto stop : found->victims) {
            victims_.stop(stop);
            plan_.stops.push_back(stop);
            view_.release(victims_.all()[stop]);
        }
        reserve(index, unit, found->tasks);
        // Capacity of the victims beyond the need of this unit is available to others.
        failed_.clear();
        return true;
    }

    void start(std::size_t index, const work_unit& unit, std::vector<assignment> tasks)
    {
        view_.take(unit, tasks);
        plan_.starts.push_back({index, std::move(tasks)});
    }

    /// Reserves capacity for the unit; the part that is free already is not given to others.
    void reserve(std::size_t index, const work_unit& unit, std::span<const assignment> tasks)
    {
        view_.take(unit, tasks);
        plan_.reserved.push_back(index);
    }

    std::span<const work_unit> units_;
    capacity_view view_;
    victim_table victims_;
    /// Services of which less than half of the capacity was in use before this plan.
    std::set<std::string_view> mostly_free_;
    isolation_plan isolation_{};
    std::vector<failed_request> failed_{};
    plan plan_{};
};

} // namespace

bool may_preempt_any(std::span<const work_unit> units)
{
    return std::ranges::any_of(units, may_preempt_others);
}

plan make_plan(std::span<const work_unit> units, std::vector<worker_candidate> workers,
               std::span<const victim> victims)
{
    return plan_builder{units, std::move(workers), victims}.build();
}

} // namespace poplarstile::planning
