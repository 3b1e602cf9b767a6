#include "planning/reclaim.hpp"

#include "planning/placement.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace poplarstile::planning
{
namespace
{

/// Work of another priority counts this much more, in core-seconds, than work that may go first.
constexpr double priority_weight = 1'000.0;

bool may_stop(const work_unit& unit, const victim& candidate)
{
    if (candidate.priority > unit.priority) {
        return true;
    }
    return unit.guaranteed && !candidate.guaranteed && candidate.priority == unit.priority;
}

double cost_of(const work_unit& unit, const victim& candidate)
{
    return candidate.loss + (candidate.priority == unit.priority ? priority_weight : 0.0);
}

/// Tries one set of workers: stops the cheapest victims until all tasks fit.
class reclaim_search
{
public:
    reclaim_search(const work_unit& unit, std::span<const worker_room> workers,
                   std::span<const victim> victims, const std::vector<bool>& stopped,
                   std::span<const std::size_t> members)
        : unit_{unit}, workers_{workers}, victims_{victims}, taken_{stopped}, members_{members}
    {
        for (const auto index : members) {
            room_.emplace(index, workers[index].coming);
        }
        collect_by_worker();
    }

    std::optional<reclaim_plan> run()
    {
        reclaim_plan made;
        for (const auto task : unit_.tasks) {
            const auto worker = next_slot(made);
            if (!worker) {
                return std::nullopt;
            }
            room_.at(*worker) -= unit_.spec->need;
            made.tasks.push_back({task, *worker});
        }
        return made;
    }

private:
    struct option {
        std::size_t worker = 0;
        std::vector<std::size_t> stops{};
        double cost = 0.0;
        std::int64_t left = 0;
    };

    void collect_by_worker()
    {
        for (std::size_t index = 0; index < victims_.size(); ++index) {
            if (taken_[index] || !may_stop(unit_, victims_[index])) {
                continue;
            }
            for (const auto& holding : victims_[index].holdings) {
                if (room_.contains(holding.worker)) {
                    auto& there = by_worker_[holding.worker];
                    if (there.empty() || there.back() != index) {
                        there.push_back(index);
                    }
                }
            }
        }
        for (auto& [worker, indexes] : by_worker_) {
            std::ranges::stable_sort(
                indexes, {}, [this](std::size_t index) { return cost_of(unit_, victims_[index]); });
        }
    }

    /// Room for one more task on the cheapest worker; stops what that takes.
    std::optional<std::size_t> next_slot(reclaim_plan& made)
    {
        std::optional<option> best;
        for (const auto worker : members_) {
            auto candidate = option_on(worker, made);
            if (!candidate) {
                continue;
            }
            const bool better = !best || candidate->cost < best->cost ||
                                (candidate->cost == best->cost && candidate->left < best->left);
            if (better) {
                best = std::move(candidate);
            }
        }
        if (!best) {
            return std::nullopt;
        }
        for (const auto index : best->stops) {
            stop(index, made);
        }
        return best->worker;
    }

    [[nodiscard]] std::optional<option> option_on(std::size_t worker,
                                                  const reclaim_plan& made) const
    {
        if (bound_reached(worker, made)) {
            return std::nullopt;
        }
        option candidate{worker, {}, 0.0, 0};
        auto room = room_.at(worker);
        const auto there = by_worker_.find(worker);
        if (there != by_worker_.end()) {
            for (const auto index : there->second) {
                if (unit_.spec->need.fits(room)) {
                    break;
                }
                if (taken_[index]) {
                    continue;
                }
                candidate.stops.push_back(index);
                candidate.cost += cost_of(unit_, victims_[index]);
                room += held_on(worker, victims_[index]);
            }
        }
        if (!unit_.spec->need.fits(room)) {
            return std::nullopt;
        }
        candidate.left = room.accelerators;
        return candidate;
    }

    [[nodiscard]] bool bound_reached(std::size_t worker, const reclaim_plan& made) const
    {
        if (unit_.spec->max_per_worker == 0) {
            return false;
        }
        const auto placed = std::ranges::count(made.tasks, worker, &assignment::worker);
        return internal::slots_on(unit_, workers_[worker], workers_[worker].facts->capacity,
                                  worker) <= placed;
    }

    static batch::resources held_on(std::size_t worker, const victim& candidate)
    {
        batch::resources held;
        for (const auto& holding : candidate.holdings) {
            if (holding.worker == worker) {
                held += holding.need;
            }
        }
        return held;
    }

    void stop(std::size_t index, reclaim_plan& made)
    {
        taken_[index] = true;
        made.victims.push_back(index);
        made.loss += cost_of(unit_, victims_[index]);
        for (const auto& holding : victims_[index].holdings) {
            const auto found = room_.find(holding.worker);
            if (found != room_.end()) {
                found->second += holding.need;
            }
        }
    }

    const work_unit& unit_;
    std::span<const worker_room> workers_;
    std::span<const victim> victims_;
    std::vector<bool> taken_;
    std::span<const std::size_t> members_;
    std::map<std::size_t, batch::resources> room_{};
    std::map<std::size_t, std::vector<std::size_t>> by_worker_{};
};

} // namespace

std::optional<reclaim_plan> plan_reclaim(const work_unit& unit,
                                         std::span<const worker_room> workers,
                                         std::span<const victim> victims,
                                         const std::vector<bool>& stopped)
{
    std::map<std::string_view, std::vector<std::size_t>> racks;
    std::vector<std::size_t> all;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        if (may_run(unit, workers[index])) {
            racks[workers[index].facts->rack].push_back(index);
            all.push_back(index);
        }
    }
    std::optional<reclaim_plan> best;
    for (const auto& [rack, members] : racks) {
        auto made = reclaim_search{unit, workers, victims, stopped, members}.run();
        if (made && (!best || made->loss < best->loss)) {
            best = std::move(made);
        }
    }
    if (!best || !unit.spec->one_rack) {
        auto made = reclaim_search{unit, workers, victims, stopped, all}.run();
        if (made && (!best || made->loss < best->loss)) {
            best = std::move(made);
        }
    }
    return best;
}

} // namespace poplarstile::planning
