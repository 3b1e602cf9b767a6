#include "placement/allocation.hpp"

#include "placement/naive_cells.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace poplarstile::placement
{
namespace
{

const std::vector<std::string> workspaces{"a", "b", "c"};

/// What the test itself knows of the history, to judge the allocation by.
class history
{
public:
    explicit history(const std::vector<worker_hardware>& workers)
        : hardware{topology::create(workers)}, cells{hardware}, usable{
                                                                    testing::all_places(hardware)}
    {
    }

    /// Guarantees that can all be met on the whole hardware, by exhaustive search.
    void draw_guarantees()
    {
        std::vector<guarantee_instance> drawn;
        std::vector<cell_need> needs;
        const auto count = testing::any_in(0, 6);
        for (int at = 0; at < count; ++at) {
            const rules::shape shape{*rc::gen::element(1U, 1U, 2U, 4U),
                                     *rc::gen::element(1U, 1U, 2U, 8U)};
            auto more = needs;
            more.push_back(need_of(shape));
            if (testing::all_fit(hardware, usable, more)) {
                needs = more;
                drawn.push_back({.workspace = *rc::gen::elementOf(workspaces), .shape = shape});
            }
        }
        cells.set_guarantees(drawn);
    }

    [[nodiscard]] testing::place_set places_of(work_id id) const
    {
        testing::place_set places;
        for (const auto& member : cells.members_of(id)) {
            for (const auto at : member.accelerators) {
                const auto place = hardware.place_of(member.worker, at);
                places.emplace(place.line, place.offset);
            }
        }
        return places;
    }

    /// Works that only a guarantee or their own end moves.
    [[nodiscard]] bool is_fixed(const work_request& request) const
    {
        return !request.stoppable || cells.guarantee_level_of(request.id).has_value();
    }

    /// Accelerators that an unbound guarantee may use: usable, outside bound cells, and free or
    /// running work that gives way.
    [[nodiscard]] testing::place_set reclaimable() const
    {
        auto places = usable;
        for (const auto& instance : cells.guarantees()) {
            if (instance.bound) {
                places = testing::without(places, *instance.bound);
            }
        }
        for (const auto& [id, request] : works) {
            for (const auto& place : places_of(id)) {
                if (is_fixed(request)) {
                    places.erase(place);
                }
            }
        }
        return places;
    }

    /// A guarantee bound to a cell that is not whole any more is owed another.
    [[nodiscard]] std::vector<cell_need> owed() const
    {
        std::vector<cell_need> needs;
        for (const auto& instance : cells.guarantees()) {
            if (!instance.bound || !is_whole(*instance.bound)) {
                needs.push_back(need_of(instance.shape));
            }
        }
        return needs;
    }

    [[nodiscard]] bool is_whole(const cell& where) const
    {
        return testing::without(usable, where).size() + where.size() == usable.size();
    }

    [[nodiscard]] bool guarantees_hold() const
    {
        return testing::all_fit(hardware, reclaimable(), owed());
    }

    [[nodiscard]] testing::place_set free_places() const
    {
        auto places = usable;
        for (const auto& [id, request] : works) {
            for (const auto& place : places_of(id)) {
                places.erase(place);
            }
        }
        return places;
    }

    void check_invariants() const
    {
        testing::place_set occupied;
        for (const auto& [id, request] : works) {
            if (cells.claim_of(id) != allocation::claim_state::none) {
                continue;
            }
            for (const auto& place : places_of(id)) {
                RC_ASSERT(occupied.insert(place).second);
            }
        }
        for (const auto& instance : cells.guarantees()) {
            if (instance.bound) {
                check_bound(instance);
            }
        }
    }

    /// Within a bound cell only the owner's work does not give way.
    void check_bound(const guarantee_instance& instance) const
    {
        for (const auto& [id, request] : works) {
            for (const auto& [line, at] : places_of(id)) {
                const bool inside = instance.bound->holds({line, at, 0});
                RC_ASSERT(!inside || !is_fixed(request) || request.workspace == instance.workspace);
            }
        }
    }

    [[nodiscard]] work_request draw_request()
    {
        return {next_id++, *rc::gen::elementOf(workspaces),
                rules::shape{*rc::gen::element(1U, 1U, 1U, 2U, 3U, 4U),
                             *rc::gen::element(1U, 1U, 1U, 2U, 4U, 8U)},
                *rc::gen::arbitrary<bool>()};
    }

    topology hardware;
    allocation cells;
    testing::place_set usable;
    std::map<work_id, work_request> works{};
    work_id next_id = 1;
};

/// True when the request is exactly a guaranteed shape that its workspace does not use.
bool asks_for_guarantee(const history& past, const work_request& request)
{
    return std::ranges::any_of(past.cells.guarantees(), [&](const guarantee_instance& instance) {
        return instance.workspace == request.workspace && instance.shape == request.shape &&
               !instance.bound;
    });
}

/// True when some whole free cell could take the request without touching what guarantees need.
bool could_run_beyond_guarantees(const history& past, const work_request& request)
{
    const auto need = need_of(request.shape);
    if (request.stoppable) {
        return !testing::cells_in(past.hardware, past.free_places(), need).empty();
    }
    const auto reclaimable = past.reclaimable();
    const auto needs = past.owed();
    testing::place_set open;
    std::ranges::set_intersection(past.free_places(), reclaimable, std::inserter(open, open.end()));
    const auto candidates = testing::cells_in(past.hardware, open, need);
    return std::ranges::any_of(candidates, [&](const cell& where) {
        return testing::all_fit(past.hardware, testing::without(reclaimable, where), needs);
    });
}

void place_one(history& past)
{
    const auto request = past.draw_request();
    const bool held = past.guarantees_hold();
    const auto plan =
        past.cells.plan(request, [](work_id work) { return static_cast<double>(work % 7); });
    if (held && asks_for_guarantee(past, request)) {
        RC_ASSERT(plan.has_value());
    }
    if (held && could_run_beyond_guarantees(past, request)) {
        RC_ASSERT(plan.has_value());
    }
    if (!plan) {
        return;
    }
    RC_CLASSIFY(!plan->victims.empty(), "reclaims");
    for (const auto victim : plan->victims) {
        RC_ASSERT(!past.is_fixed(past.works.at(victim)));
    }
    past.cells.commit(*plan, request);
    past.works.emplace(request.id, request);
    RC_ASSERT(!held || past.guarantees_hold());
    for (const auto victim : plan->victims) {
        past.cells.release(victim);
        past.works.erase(victim);
        past.check_invariants();
    }
    if (!plan->victims.empty()) {
        RC_ASSERT(past.cells.claim_of(request.id) == allocation::claim_state::ready);
        past.cells.occupy(request.id);
    }
}

void end_one(history& past)
{
    if (past.works.empty()) {
        return;
    }
    const auto ended = *rc::gen::elementOf(past.works);
    const bool held = past.guarantees_hold();
    past.cells.release(ended.first);
    past.works.erase(ended.first);
    RC_ASSERT(!held || past.guarantees_hold());
}

void break_or_mend(history& past)
{
    const auto place = *rc::gen::elementOf(testing::all_places(past.hardware));
    const bool usable = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    const accelerator_place at{place.first, place.second};
    past.cells.set_usable(past.hardware.worker_at(at), past.hardware.accelerator_at(at), usable);
    if (usable) {
        past.usable.insert(place);
    } else {
        past.usable.erase(place);
    }
}

RC_GTEST_PROP(allocation_history, keeps_every_guarantee_and_finds_every_place, ())
{
    history past{testing::arbitrary_workers(3, 5)};
    past.draw_guarantees();
    const auto steps = testing::any_in(1, 150);
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::weightedElement<int>({{6, 0}, {3, 1}, {1, 2}})) {
        case 0:
            place_one(past);
            break;
        case 1:
            end_one(past);
            break;
        default:
            break_or_mend(past);
        }
        past.check_invariants();
    }
}

} // namespace
} // namespace poplarstile::placement
