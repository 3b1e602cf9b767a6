#include "plan_fixture.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>

/// Properties of plans for random states: work that has waited for long is not left beside much
/// free capacity.
namespace poplarstile::planning
{
namespace
{

constexpr int max_workers = 24;
constexpr int max_units = 10;
/// Longest wait beside free capacity for twice the work, while less than half is in use.
constexpr base::milliseconds longest_wait{2'000};
/// After this time an isolated unit is no longer passed by later ones.
constexpr base::milliseconds longest_passed{10'000};

void fill_at_random(plan_fixture& input)
{
    const auto workers = *rc::gen::inRange(4, max_workers);
    auto closed = workers / 4;
    for (int index = 0; index < workers; ++index) {
        const auto worker = input.add_worker(fmt::format("r{}", index % 4));
        const std::int64_t used = *rc::gen::inRange(0, 5);
        if (used > 0) {
            input.occupy(worker, used);
        }
        if (used > 0 && closed > 0 && *rc::gen::inRange(0, 4) == 0) {
            input.workers.at(worker).isolated = true;
            --closed;
        }
    }
    const auto units = *rc::gen::inRange(1, max_units);
    for (int index = 0; index < units; ++index) {
        auto& spec = input.add_spec(*rc::gen::inRange(1U, 7U), *rc::gen::inRange(1, 9),
                                    *rc::gen::arbitrary<bool>());
        spec.one_rack = spec.gang && *rc::gen::arbitrary<bool>();
        spec.data_rack = *rc::gen::element<std::string>("", "r1", "r2");
        spec.max_per_worker = *rc::gen::inRange(0U, 3U);
        spec.estimate = base::milliseconds{*rc::gen::inRange(1, 60) * 1'000};
        const work_rank rank{*rc::gen::arbitrary<bool>(), *rc::gen::inRange(0U, 3U),
                             *rc::gen::arbitrary<bool>(), index};
        const auto unit = input.add_unit(spec, rank);
        input.units.at(unit).isolated = *rc::gen::arbitrary<bool>();
        input.units.at(unit).waited = base::milliseconds{*rc::gen::inRange(0, 14) * 1'000};
    }
}

/// Half of the workers of each rack are idle, the others are hardly used: gangs find no rack with
/// enough whole workers.
void split_over_racks(plan_fixture& input)
{
    const auto workers = *rc::gen::inRange(8, max_workers);
    for (int index = 0; index < workers; ++index) {
        const auto worker = input.add_worker(fmt::format("r{}", index % 4));
        if ((index / 4) % 2 == 1) {
            input.occupy(worker, 1);
        }
    }
    const auto units = *rc::gen::inRange(1, 5);
    for (int index = 0; index < units; ++index) {
        auto& spec =
            input.add_spec(*rc::gen::inRange(1U, 7U), plan_fixture::worker_capacity.accelerators,
                           *rc::gen::inRange(0, 4) > 0);
        spec.one_rack = spec.gang;
        spec.estimate = base::milliseconds{60'000};
        const work_rank rank{false, *rc::gen::inRange(1U, 3U), false, index};
        const auto unit = input.add_unit(spec, rank);
        input.units.at(unit).isolated = *rc::gen::inRange(0, 3) == 0;
        input.units.at(unit).waited = base::milliseconds{*rc::gen::inRange(0, 6) * 1'000};
    }
}

/// What a plan leaves.
struct after_plan {
    explicit after_plan(const plan_fixture& input) : workers{input.workers}
    {
        const auto result = input.make();
        for (const auto& start : result.starts) {
            for (const auto& task : start.tasks) {
                auto& worker = workers.at(task.worker);
                worker.free -= input.units.at(start.unit).spec->need;
                worker.occupied = true;
                worker.isolated = worker.isolated || start.isolated;
                ++present[{start.unit, task.worker}];
                ++placed[start.unit];
            }
        }
        reserved.insert(result.reserved.begin(), result.reserved.end());
    }

    [[nodiscard]] bool under_half_in_use() const
    {
        double used = 0.0;
        double capacity = 0.0;
        for (const auto& worker : workers) {
            used += batch::core_weight(worker.facts->capacity - worker.free);
            capacity += batch::core_weight(worker.facts->capacity);
        }
        return used * 2 < capacity;
    }

    [[nodiscard]] std::size_t missing(const work_unit& unit, std::size_t index) const
    {
        const auto found = placed.find(index);
        return unit.tasks.size() - (found == placed.end() ? 0 : found->second);
    }

    /// Tasks of the unit for which there is free capacity beside work that is not isolated.
    [[nodiscard]] std::size_t slots(const work_unit& unit, std::size_t index) const
    {
        std::size_t sum = 0;
        for (std::size_t at = 0; at < workers.size(); ++at) {
            if (workers.at(at).isolated) {
                continue;
            }
            auto fit = static_cast<std::size_t>(unit.spec->need.fit_count(workers.at(at).free));
            if (unit.spec->max_per_worker > 0) {
                const auto here = present.find({index, at});
                const auto count = here == present.end() ? 0 : here->second;
                fit = std::min<std::size_t>(fit, unit.spec->max_per_worker - count);
            }
            sum += fit;
        }
        return sum;
    }

    std::vector<worker_candidate> workers;
    std::map<std::pair<std::size_t, std::size_t>, std::size_t> present{};
    std::map<std::size_t, std::size_t> placed{};
    std::set<std::size_t> reserved{};
};

RC_GTEST_PROP(progress_model, WorkThatHasWaitedIsNotLeftBesideFreeCapacityForTwiceAsMuch, ())
{
    plan_fixture input;
    if (*rc::gen::arbitrary<bool>()) {
        fill_at_random(input);
    } else {
        split_over_racks(input);
    }

    const after_plan left{input};

    RC_PRE(left.under_half_in_use());
    for (std::size_t index = 0; index < input.units.size(); ++index) {
        const auto& unit = input.units.at(index);
        const auto missing = left.missing(unit, index);
        if (unit.isolated || unit.waited < longest_wait || missing == 0 ||
            left.reserved.contains(index)) {
            continue;
        }
        RC_ASSERT(left.slots(unit, index) < 2 * missing);
    }
}

RC_GTEST_PROP(progress_model, ASuspectThatHasWaitedIsNotLeftBesideIdleWorkers, ())
{
    plan_fixture input;
    fill_at_random(input);

    const after_plan left{input};

    const auto workers = input.workers.size();
    const auto limit = std::max<std::size_t>(workers / 4, 1);
    const auto closed =
        static_cast<std::size_t>(std::ranges::count_if(left.workers, &worker_candidate::isolated));
    const auto idle =
        workers -
        static_cast<std::size_t>(std::ranges::count_if(left.workers, &worker_candidate::occupied));
    bool turn_of_earlier = false;
    for (std::size_t index = 0; index < input.units.size(); ++index) {
        const auto& unit = input.units.at(index);
        const bool waits = unit.isolated && left.missing(unit, index) == unit.tasks.size();
        if (waits && unit.tasks.size() == 1 && unit.waited >= longest_wait && !turn_of_earlier) {
            // Those that are left are held for suspects that need more of them.
            RC_ASSERT(idle <= limit || closed >= workers - limit);
        }
        turn_of_earlier = turn_of_earlier || (waits && unit.waited >= longest_passed);
    }
}

} // namespace
} // namespace poplarstile::planning
