#include "planning/preemption.hpp"

#include "planning/placement.hpp"

#include <algorithm>
#include <iterator>

namespace poplarstile::planning
{
namespace
{

/// Extra cost, in core-seconds, of a victim of the unit's own priority over one of a lower
/// priority.
constexpr double own_priority_cost = 1'000.0;

bool may_preempt(const work_unit& unit, const victim& candidate)
{
    if (candidate.priority > unit.rank.priority) {
        return true;
    }
    return unit.guaranteed && !candidate.guaranteed && candidate.priority == unit.rank.priority;
}

double cost_of(const work_unit& unit, const victim& candidate)
{
    return candidate.loss + (candidate.priority == unit.rank.priority ? own_priority_cost : 0.0);
}

batch::resources held_on(std::size_t worker, const victim& candidate)
{
    batch::resources held;
    for (const auto& holding : candidate.holdings) {
        if (holding.worker == worker) {
            held += holding.need;
        }
    }
    return held;
}

/// Searches one set of workers: adds the cheapest victims until all tasks fit.
class preemption_search
{
public:
    preemption_search(const work_unit& unit, const capacity_view& view, const victim_table& table,
                      std::span<const std::size_t> members)
        : unit_{unit}, view_{view}, table_{table}, members_{members}, chosen_{table.stopped()}
    {
        capacity_.resize(view.workers().size());
        stale_.assign(view.workers().size(), true);
        options_.resize(members.size());
        for (const auto index : members) {
            capacity_[index] = view.worker(index).free_after_stops;
        }
    }

    std::optional<preemption_plan> run()
    {
        preemption_plan result;
        if (!could_hold_all()) {
            return std::nullopt;
        }
        for (const auto task : unit_.tasks) {
            const auto worker = next_slot(result);
            if (!worker) {
                return std::nullopt;
            }
            capacity_[*worker] -= unit_.spec->need;
            result.tasks.push_back({task, *worker});
        }
        return result;
    }

private:
    struct option {
        std::size_t worker = 0;
        std::vector<std::size_t> stops{};
        double cost = 0.0;
        /// What it costs the unit to run on a worker that is too slow for it.
        double slow_cost = 0.0;
        std::int64_t accelerators_left = 0;
    };

    [[nodiscard]] static double total_cost(const option& candidate)
    {
        return candidate.cost + candidate.slow_cost;
    }

    /// A unit that ends late because of one slow worker is worth less as a whole.
    [[nodiscard]] double slow_cost_on(std::size_t worker) const
    {
        const auto& candidate = view_.worker(worker);
        return is_too_slow(unit_.pace, candidate.speed, candidate.cold_left) ? unit_.work : 0.0;
    }

    [[nodiscard]] bool may_choose(std::size_t index) const
    {
        return !chosen_[index] && may_preempt(unit_, table_.all()[index]);
    }

    /// True when all tasks would fit if every possible victim stopped.
    [[nodiscard]] bool could_hold_all() const
    {
        std::int64_t slots = 0;
        for (const auto worker : members_) {
            auto capacity = capacity_[worker];
            for (const auto index : table_.on_worker(worker)) {
                if (may_choose(index)) {
                    capacity += held_on(worker, table_.all()[index]);
                }
            }
            slots += internal::slots_on(unit_, capacity, worker);
        }
        return slots >= static_cast<std::int64_t>(unit_.tasks.size());
    }

    /// Finds capacity for one more task on the cheapest worker, and stops the victims needed for
    /// it.
    std::optional<std::size_t> next_slot(preemption_plan& result)
    {
        const option* best = nullptr;
        for (std::size_t at = 0; at < members_.size(); ++at) {
            if (stale_[members_[at]]) {
                options_[at] = option_on(members_[at], result);
                stale_[members_[at]] = false;
            }
            const auto& candidate = options_[at];
            const bool better =
                candidate && (best == nullptr || total_cost(*candidate) < total_cost(*best) ||
                              (total_cost(*candidate) == total_cost(*best) &&
                               candidate->accelerators_left < best->accelerators_left));
            if (better) {
                best = &*candidate;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        const auto worker = best->worker;
        stale_[worker] = true;
        result.slow_cost += best->slow_cost;
        for (const auto index : best->stops) {
            stop(index, result);
        }
        return worker;
    }

    [[nodiscard]] std::optional<option> option_on(std::size_t worker,
                                                  const preemption_plan& result) const
    {
        if (limit_reached(worker, result)) {
            return std::nullopt;
        }
        option candidate{worker, {}, 0.0, slow_cost_on(worker), 0};
        auto capacity = capacity_[worker];
        for (const auto index : table_.on_worker(worker)) {
            if (unit_.spec->need.fits(capacity)) {
                break;
            }
            if (may_choose(index)) {
                candidate.stops.push_back(index);
                capacity += held_on(worker, table_.all()[index]);
            }
        }
        if (!unit_.spec->need.fits(capacity)) {
            return std::nullopt;
        }
        drop_unneeded_victims(candidate, capacity);
        for (const auto index : candidate.stops) {
            candidate.cost += cost_of(unit_, table_.all()[index]);
        }
        candidate.accelerators_left = capacity.accelerators;
        return candidate;
    }

    /// Drops victims that are not needed for the task to fit, the most expensive first.
    void drop_unneeded_victims(option& candidate, batch::resources& capacity) const
    {
        for (auto position = candidate.stops.size(); position > 0; --position) {
            const auto index = candidate.stops[position - 1];
            const auto without = capacity - held_on(candidate.worker, table_.all()[index]);
            if (unit_.spec->need.fits(without)) {
                capacity = without;
                candidate.stops.erase(
                    std::next(candidate.stops.begin(), static_cast<std::ptrdiff_t>(position - 1)));
            }
        }
    }

    [[nodiscard]] bool limit_reached(std::size_t worker, const preemption_plan& result) const
    {
        if (unit_.spec->max_per_worker == 0) {
            return false;
        }
        const auto placed = std::ranges::count(result.tasks, worker, &assignment::worker);
        const auto present =
            std::ranges::find(unit_.present, worker, [](const auto& entry) { return entry.first; });
        const std::int64_t present_count = present == unit_.present.end() ? 0 : present->second;
        return present_count + placed >= std::int64_t{unit_.spec->max_per_worker};
    }

    void stop(std::size_t index, preemption_plan& result)
    {
        const auto& stopped = table_.all()[index];
        chosen_[index] = true;
        result.victims.push_back(index);
        result.loss += cost_of(unit_, stopped);
        for (const auto& holding : stopped.holdings) {
            // Entries of workers outside the search are never read.
            capacity_[holding.worker] += holding.need;
            stale_[holding.worker] = true;
        }
    }

    const work_unit& unit_;
    const capacity_view& view_;
    const victim_table& table_;
    std::span<const std::size_t> members_;
    std::vector<bool> chosen_;
    /// Capacity by worker, including that of the chosen victims.
    std::vector<batch::resources> capacity_{};
    /// By worker: whether its capacity changed after its option was computed.
    std::vector<bool> stale_{};
    /// The cheapest option for one more slot, by the position of the worker in `members_`.
    std::vector<std::optional<option>> options_{};
};

void keep_cheaper(std::optional<preemption_plan>& best, std::optional<preemption_plan> result)
{
    if (result && (!best || result->loss + result->slow_cost < best->loss + best->slow_cost)) {
        best = std::move(result);
    }
}

} // namespace

victim_table::victim_table(std::span<const victim> victims, std::size_t workers)
    : victims_{victims}, by_worker_(workers), stopped_(victims.size())
{
    for (std::size_t index = 0; index < victims.size(); ++index) {
        for (const auto& holding : victims[index].holdings) {
            auto& indices = by_worker_[holding.worker];
            if (indices.empty() || indices.back() != index) {
                indices.push_back(index);
            }
        }
    }
    for (auto& indices : by_worker_) {
        // The least urgent victims first; of those, the ones with the least work lost.
        std::ranges::stable_sort(indices, [&](std::size_t one, std::size_t other) {
            const auto& left = victims[one];
            const auto& right = victims[other];
            const bool urgent_left = left.priority == 0;
            const bool urgent_right = right.priority == 0;
            return std::pair{urgent_left, left.loss} < std::pair{urgent_right, right.loss};
        });
    }
}

std::optional<preemption_plan> plan_preemption(const work_unit& unit, capacity_view& view,
                                               const victim_table& table)
{
    std::optional<preemption_plan> best;
    const auto& racks = view.racks_for(unit);
    for (const auto& rack : racks) {
        keep_cheaper(best, preemption_search{unit, view, table, rack.workers}.run());
    }
    if (best && unit.spec->one_rack) {
        return best;
    }
    std::vector<std::size_t> all;
    for (const auto& rack : racks) {
        all.insert(all.end(), rack.workers.begin(), rack.workers.end());
    }
    keep_cheaper(best, preemption_search{unit, view, table, all}.run());
    return best;
}

} // namespace poplarstile::planning
