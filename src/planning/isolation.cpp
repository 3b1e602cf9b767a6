#include "planning/isolation.hpp"

#include "planning/placement.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <optional>
#include <string_view>
#include <tuple>
#include <utility>

namespace poplarstile::planning
{
namespace
{

/// One worker in this many, of each service, may be kept for isolated units.
constexpr std::size_t workers_per_isolated_worker = 4;
constexpr std::size_t min_workers_to_isolate = 2;

batch::resources used_on(const worker_candidate& worker)
{
    return worker.facts->capacity - worker.free;
}

std::int64_t slots_when_idle(const work_unit& unit, const worker_candidate& worker,
                             std::size_t index)
{
    return internal::slots_on(unit, worker.facts->capacity, index);
}

/// What it costs to wait until the workers are idle, in the order of importance. Nothing in it
/// grows while the workers are held back.
struct waiting_cost {
    std::size_t with_lasting_work = 0;
    std::size_t occupied = 0;
    std::size_t remote = 0;
    std::int64_t accelerators = 0;
    std::int64_t cpu_milli = 0;

    [[nodiscard]] friend bool operator<(const waiting_cost& one, const waiting_cost& other)
    {
        const auto key = [](const waiting_cost& cost) {
            return std::tie(cost.with_lasting_work, cost.occupied, cost.remote, cost.accelerators,
                            cost.cpu_milli);
        };
        return key(one) < key(other);
    }
};

/// Workers that can hold a unit once they are idle.
struct worker_choice {
    std::vector<std::size_t> workers{};
    waiting_cost cost{};
};

/// Chooses workers for the isolated units of one plan, one unit after the other.
class worker_chooser
{
public:
    explicit worker_chooser(capacity_view& view) : view_{view}, claimed_(view.workers().size())
    {
        for (const auto& worker : view.workers()) {
            if (worker.schedulable) {
                auto& service = services_[worker.facts->service];
                ++service.workers;
                service.closed += worker.isolated ? 1 : 0;
            }
        }
    }

    /// True when the unit could run isolated, at some time.
    [[nodiscard]] bool can_isolate(const work_unit& unit)
    {
        const auto limit = isolation_limit(services_[*unit.service].workers);
        std::vector<std::int64_t> slots;
        for (const auto index : all_workers(unit)) {
            // A worker with work that does not end by itself may never become idle.
            if (!view_.worker(index).holds_lasting_work) {
                slots.push_back(slots_when_idle(unit, view_.worker(index), index));
            }
        }
        if (limit == 0 || !unit.spec->gang) {
            return limit > 0 && !slots.empty();
        }
        const auto most =
            slots.begin() + static_cast<std::ptrdiff_t>(std::min(limit, slots.size()));
        std::ranges::partial_sort(slots, most, std::ranges::greater{});
        return std::accumulate(slots.begin(), most, std::int64_t{0}) >=
               static_cast<std::int64_t>(unit.tasks.size());
    }

    /// Claims workers for the unit. When the unit has to wait because too many workers are kept for
    /// others, so do the later units of its service.
    std::vector<std::size_t> claim(const work_unit& unit)
    {
        auto& service = services_[*unit.service];
        const auto limit = isolation_limit(service.workers);
        if (service.closed >= limit) {
            return {};
        }
        const auto left = limit - service.closed;
        auto chosen = unit.spec->gang ? choose_for_gang(unit, left)
                                      : choose_for_tasks(unit, all_workers(unit), left);
        if (!chosen) {
            service.closed = limit;
            return {};
        }
        service.closed += chosen->workers.size();
        for (const auto index : chosen->workers) {
            claimed_[index] = true;
        }
        return std::move(chosen->workers);
    }

private:
    struct service_workers {
        std::size_t workers = 0;
        /// Workers that hold isolated units or are claimed for them.
        std::size_t closed = 0;
    };

    [[nodiscard]] std::vector<std::size_t> unclaimed(const work_unit& unit,
                                                     std::span<const std::size_t> members) const
    {
        std::vector<std::size_t> result;
        std::ranges::copy_if(members, std::back_inserter(result), [&](std::size_t index) {
            return !claimed_[index] && slots_when_idle(unit, view_.worker(index), index) > 0;
        });
        return result;
    }

    [[nodiscard]] std::vector<std::size_t> all_workers(const work_unit& unit)
    {
        std::vector<std::size_t> members;
        for (const auto& rack : view_.racks_for(unit)) {
            members.insert(members.end(), rack.workers.begin(), rack.workers.end());
        }
        return unclaimed(unit, members);
    }

    [[nodiscard]] waiting_cost cost_of(const work_unit& unit, std::size_t index) const
    {
        const auto& worker = view_.worker(index);
        const auto used = used_on(worker);
        return {worker.holds_lasting_work ? 1U : 0U, worker.occupied ? 1U : 0U,
                internal::is_remote(unit, worker.facts->rack) ? 1U : 0U, used.accelerators,
                used.cpu_milli};
    }

    /// The first of the sorted members, up to `most`, that hold the unit when idle: all tasks of a
    /// gang, or as many others as possible.
    [[nodiscard]] std::optional<worker_choice>
    take_first(const work_unit& unit, std::span<const std::size_t> sorted, std::size_t most) const
    {
        worker_choice chosen;
        auto missing = static_cast<std::int64_t>(unit.tasks.size());
        for (const auto index : sorted.first(std::min(most, sorted.size()))) {
            if (missing <= 0) {
                break;
            }
            missing -= slots_when_idle(unit, view_.worker(index), index);
            chosen.workers.push_back(index);
            const auto cost = cost_of(unit, index);
            chosen.cost.with_lasting_work += cost.with_lasting_work;
            chosen.cost.occupied += cost.occupied;
            chosen.cost.remote += cost.remote;
            chosen.cost.accelerators += cost.accelerators;
            chosen.cost.cpu_milli += cost.cpu_milli;
        }
        const bool sufficient = unit.spec->gang ? missing <= 0 : !chosen.workers.empty();
        return sufficient ? std::optional{std::move(chosen)} : std::nullopt;
    }

    [[nodiscard]] std::optional<worker_choice>
    fewest_workers(const work_unit& unit, std::vector<std::size_t> members, std::size_t most) const
    {
        std::ranges::stable_sort(members, std::ranges::greater{}, [&](std::size_t index) {
            return slots_when_idle(unit, view_.worker(index), index);
        });
        return take_first(unit, members, most);
    }

    /// Members with work that does not end by itself come last, before them those that failed or
    /// crashed recently; otherwise the idle ones come first.
    [[nodiscard]] std::optional<worker_choice> choose_for_tasks(const work_unit& unit,
                                                                std::vector<std::size_t> members,
                                                                std::size_t most) const
    {
        std::ranges::stable_sort(members, {}, [&](std::size_t index) {
            const auto cost = cost_of(unit, index);
            return std::tuple{cost.with_lasting_work, view_.worker(index).suspicion,
                              cost.occupied,          cost.remote,
                              cost.accelerators,      cost.cpu_milli};
        });
        if (auto chosen = take_first(unit, members, most)) {
            return chosen;
        }
        return fewest_workers(unit, std::move(members), most);
    }

    /// Prefers one rack. A gang that requires one rack is spread across racks only when each rack
    /// that could hold it has work that does not end by itself.
    [[nodiscard]] std::optional<worker_choice> choose_for_gang(const work_unit& unit,
                                                               std::size_t most)
    {
        std::optional<worker_choice> best;
        for (const auto& rack : view_.racks_for(unit)) {
            auto chosen = choose_for_tasks(unit, unclaimed(unit, rack.workers), most);
            if (chosen && (!best || chosen->cost < best->cost)) {
                best = std::move(chosen);
            }
        }
        const bool ends = best && best->cost.with_lasting_work == 0;
        if (ends && (unit.spec->one_rack || best->cost.occupied == 0)) {
            return best;
        }
        auto across = choose_for_tasks(unit, all_workers(unit), most);
        const bool sooner =
            across && (!best || std::pair{across->cost.with_lasting_work, across->cost.occupied} <
                                    std::pair{best->cost.with_lasting_work, best->cost.occupied});
        return sooner ? across : best;
    }

    capacity_view& view_;
    std::vector<bool> claimed_;
    std::map<std::string_view, service_workers> services_{};
};

/// Indices of the isolated units, the earliest accepted first, so that each has its turn whatever
/// is accepted after it.
std::vector<std::size_t> isolated_units(std::span<const work_unit> units)
{
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < units.size(); ++index) {
        if (units[index].isolated && !units[index].tasks.empty()) {
            order.push_back(index);
        }
    }
    std::ranges::stable_sort(order, {},
                             [units](std::size_t index) { return units[index].rank.accepted_ms; });
    return order;
}

} // namespace

std::size_t isolation_limit(std::size_t workers)
{
    if (workers < min_workers_to_isolate) {
        return 0;
    }
    return std::max<std::size_t>(workers / workers_per_isolated_worker, 1);
}

isolation_plan plan_isolation(std::span<const work_unit> units, capacity_view& view)
{
    isolation_plan result;
    result.isolated.resize(units.size());
    const auto order = isolated_units(units);
    if (order.empty()) {
        return result;
    }
    worker_chooser chooser{view};
    for (const auto index : order) {
        result.isolated[index] = chooser.can_isolate(units[index]);
        if (result.isolated[index]) {
            result.order.push_back(index);
        }
    }
    for (const auto index : result.order) {
        auto workers = chooser.claim(units[index]);
        if (!workers.empty()) {
            result.held.push_back({index, std::move(workers)});
        }
    }
    return result;
}

std::vector<assignment> place_isolated(const work_unit& unit, std::span<const std::size_t> held,
                                       const capacity_view& view)
{
    std::vector<std::size_t> idle;
    std::ranges::copy_if(held, std::back_inserter(idle),
                         [&](std::size_t index) { return !view.worker(index).occupied; });
    auto placed = internal::assign_in_order(unit, idle, view, capacity_kind::free);
    if (unit.spec->gang && placed.size() < unit.tasks.size()) {
        return {};
    }
    return placed;
}

} // namespace poplarstile::planning
