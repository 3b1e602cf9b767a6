#include "planning/reclaim.hpp"

#include "planning/placement.hpp"

#include <algorithm>
#include <iterator>

namespace poplarstile::planning
{
namespace
{

/// Work of the unit's own priority counts this much more, in core-seconds, than work below it.
constexpr double own_priority_weight = 1'000.0;

bool may_stop(const work_unit& unit, const victim& candidate)
{
    if (candidate.priority > unit.rank.priority) {
        return true;
    }
    return unit.guaranteed && !candidate.guaranteed && candidate.priority == unit.rank.priority;
}

double cost_of(const work_unit& unit, const victim& candidate)
{
    return candidate.loss + (candidate.priority == unit.rank.priority ? own_priority_weight : 0.0);
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

/// Tries one set of workers: stops the cheapest victims until all tasks fit.
class reclaim_search
{
public:
    reclaim_search(const work_unit& unit, const site_view& site, const victim_book& book,
                   std::span<const std::size_t> members)
        : unit_{unit}, book_{book}, members_{members}, taken_{book.stopped()}
    {
        room_.resize(site.workers().size());
        stale_.assign(site.workers().size(), true);
        options_.resize(members.size());
        for (const auto index : members) {
            room_[index] = site.worker(index).free_after_stops;
        }
    }

    std::optional<reclaim_plan> run()
    {
        reclaim_plan made;
        if (!could_hold_all()) {
            return std::nullopt;
        }
        for (const auto task : unit_.tasks) {
            const auto worker = next_slot(made);
            if (!worker) {
                return std::nullopt;
            }
            room_[*worker] -= unit_.spec->need;
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

    [[nodiscard]] bool may_take(std::size_t index) const
    {
        return !taken_[index] && may_stop(unit_, book_.all()[index]);
    }

    /// True when all tasks would fit if everything stopped that may be.
    [[nodiscard]] bool could_hold_all() const
    {
        std::int64_t slots = 0;
        for (const auto worker : members_) {
            auto room = room_[worker];
            for (const auto index : book_.on_worker(worker)) {
                if (may_take(index)) {
                    room += held_on(worker, book_.all()[index]);
                }
            }
            slots += internal::slots_on(unit_, room, worker);
        }
        return slots >= static_cast<std::int64_t>(unit_.tasks.size());
    }

    /// Room for one more task on the cheapest worker; stops what that takes.
    std::optional<std::size_t> next_slot(reclaim_plan& made)
    {
        const option* best = nullptr;
        for (std::size_t at = 0; at < members_.size(); ++at) {
            if (stale_[members_[at]]) {
                options_[at] = option_on(members_[at], made);
                stale_[members_[at]] = false;
            }
            const auto& candidate = options_[at];
            const bool better =
                candidate && (best == nullptr || candidate->cost < best->cost ||
                              (candidate->cost == best->cost && candidate->left < best->left));
            if (better) {
                best = &*candidate;
            }
        }
        if (best == nullptr) {
            return std::nullopt;
        }
        const auto worker = best->worker;
        stale_[worker] = true;
        for (const auto index : best->stops) {
            stop(index, made);
        }
        return worker;
    }

    [[nodiscard]] std::optional<option> option_on(std::size_t worker,
                                                  const reclaim_plan& made) const
    {
        if (bound_reached(worker, made)) {
            return std::nullopt;
        }
        option candidate{worker, {}, 0.0, 0};
        auto room = room_[worker];
        for (const auto index : book_.on_worker(worker)) {
            if (unit_.spec->need.fits(room)) {
                break;
            }
            if (may_take(index)) {
                candidate.stops.push_back(index);
                room += held_on(worker, book_.all()[index]);
            }
        }
        if (!unit_.spec->need.fits(room)) {
            return std::nullopt;
        }
        spare_needless(candidate, room);
        for (const auto index : candidate.stops) {
            candidate.cost += cost_of(unit_, book_.all()[index]);
        }
        candidate.left = room.accelerators;
        return candidate;
    }

    /// Spares the dearest victims without which the need fits as well.
    void spare_needless(option& candidate, batch::resources& room) const
    {
        for (auto position = candidate.stops.size(); position > 0; --position) {
            const auto index = candidate.stops[position - 1];
            const auto without = room - held_on(candidate.worker, book_.all()[index]);
            if (unit_.spec->need.fits(without)) {
                room = without;
                candidate.stops.erase(
                    std::next(candidate.stops.begin(), static_cast<std::ptrdiff_t>(position - 1)));
            }
        }
    }

    [[nodiscard]] bool bound_reached(std::size_t worker, const reclaim_plan& made) const
    {
        if (unit_.spec->max_per_worker == 0) {
            return false;
        }
        const auto placed = std::ranges::count(made.tasks, worker, &assignment::worker);
        const auto present =
            std::ranges::find(unit_.present, worker, [](const auto& entry) { return entry.first; });
        const std::int64_t there = present == unit_.present.end() ? 0 : present->second;
        return there + placed >= std::int64_t{unit_.spec->max_per_worker};
    }

    void stop(std::size_t index, reclaim_plan& made)
    {
        const auto& stopped = book_.all()[index];
        taken_[index] = true;
        made.victims.push_back(index);
        made.loss += cost_of(unit_, stopped);
        for (const auto& holding : stopped.holdings) {
            // Room of workers outside the search is never read.
            room_[holding.worker] += holding.need;
            stale_[holding.worker] = true;
        }
    }

    const work_unit& unit_;
    const victim_book& book_;
    std::span<const std::size_t> members_;
    std::vector<bool> taken_;
    /// By worker.
    std::vector<batch::resources> room_{};
    /// By worker: whether its option was worked out before its room changed.
    std::vector<bool> stale_{};
    /// The cheapest way to one more slot, by the place of the worker in `members_`.
    std::vector<std::optional<option>> options_{};
};

void keep_cheaper(std::optional<reclaim_plan>& best, std::optional<reclaim_plan> made)
{
    if (made && (!best || made->loss < best->loss)) {
        best = std::move(made);
    }
}

} // namespace

victim_book::victim_book(std::span<const victim> victims, std::size_t workers)
    : victims_{victims}, by_worker_(workers), stopped_(victims.size())
{
    for (std::size_t index = 0; index < victims.size(); ++index) {
        for (const auto& holding : victims[index].holdings) {
            auto& there = by_worker_[holding.worker];
            if (there.empty() || there.back() != index) {
                there.push_back(index);
            }
        }
    }
    for (auto& there : by_worker_) {
        // The least urgent first, of those the least work lost.
        std::ranges::stable_sort(there, [&](std::size_t one, std::size_t other) {
            const auto& left = victims[one];
            const auto& right = victims[other];
            const bool urgent_left = left.priority == 0;
            const bool urgent_right = right.priority == 0;
            return std::pair{urgent_left, left.loss} < std::pair{urgent_right, right.loss};
        });
    }
}

std::optional<reclaim_plan> plan_reclaim(const work_unit& unit, site_view& site,
                                         const victim_book& book)
{
    std::optional<reclaim_plan> best;
    const auto& racks = site.racks_for(unit);
    for (const auto& rack : racks) {
        keep_cheaper(best, reclaim_search{unit, site, book, rack.workers}.run());
    }
    if (best && unit.spec->one_rack) {
        return best;
    }
    std::vector<std::size_t> all;
    for (const auto& rack : racks) {
        all.insert(all.end(), rack.workers.begin(), rack.workers.end());
    }
    keep_cheaper(best, reclaim_search{unit, site, book, all}.run());
    return best;
}

} // namespace poplarstile::planning
