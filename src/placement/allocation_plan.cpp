#include "placement/allocation.hpp"

#include <algorithm>
#include <set>

/// The planning half of `allocation`: it looks for places and changes nothing.
namespace poplarstile::placement
{
namespace
{

std::vector<std::uint32_t> missing_in(const cell_index& available,
                                      std::span<const cell_demand> demands)
{
    return shortfall(available, demands);
}

/// True when no entry of `after` is greater than that of `before`.
bool no_worse(std::span<const std::uint32_t> after, std::span<const std::uint32_t> before)
{
    return std::ranges::equal(after, before, std::ranges::less_equal{});
}

} // namespace

std::vector<cell_demand> allocation::owed(std::optional<std::size_t> except) const
{
    std::vector<cell_demand> demands;
    for (std::size_t index = 0; index < guarantees_.size(); ++index) {
        const bool met = guarantees_[index].bound && guarantees_[index].unusable == 0;
        if (met || index == except) {
            continue;
        }
        const auto need = need_of(guarantees_[index].shape);
        const auto same = std::ranges::find(demands, need, &cell_demand::need);
        if (same == demands.end()) {
            demands.push_back({need, 1});
        } else {
            ++same->count;
        }
    }
    std::ranges::sort(demands, std::ranges::greater{}, &cell_demand::need);
    return demands;
}

bool allocation::removal_is_safe(const removed_cell& without,
                                 std::optional<std::size_t> instance) const
{
    const auto demands = owed(instance);
    return no_worse(shortfall(available_, demands, without), missing_in(available_, demands));
}

bool allocation::places_are_safe(std::span<const accelerator_place> places) const
{
    const auto demands = owed(std::nullopt);
    auto after = available_;
    for (const auto& place : places) {
        after.set(place, false);
    }
    return no_worse(missing_in(after, demands), missing_in(available_, demands));
}

std::optional<placement_plan> allocation::plan(const work_request& request,
                                               const loss_function& loss,
                                               const plan_options& options) const
{
    auto guaranteed = plan_guaranteed(request, loss);
    if (guaranteed && guaranteed->victims.empty()) {
        return guaranteed;
    }
    if (auto free = plan_free(request, options)) {
        return free;
    }
    return options.reclaim ? guaranteed : std::nullopt;
}

std::optional<placement_plan> allocation::plan_guaranteed(const work_request& request,
                                                          const loss_function& loss) const
{
    std::optional<placement_plan> best;
    plan_in_bound(request, loss, best);
    const auto need = need_of(request.shape);
    std::vector<std::size_t> unbound;
    for (std::size_t index = 0; index < guarantees_.size(); ++index) {
        const auto& instance = guarantees_[index];
        const auto has = need_of(instance.shape);
        const bool serves = instance.workspace == request.workspace && !instance.bound &&
                            has.level >= need.level && has.width_level >= need.width_level;
        const bool alike = std::ranges::any_of(
            unbound, [&](std::size_t other) { return need_of(guarantees_[other].shape) == has; });
        if (serves && !alike) {
            unbound.push_back(index);
        }
    }
    std::ranges::sort(unbound, {},
                      [this](std::size_t index) { return need_of(guarantees_[index].shape); });
    for (const auto index : unbound) {
        if (best && best->victims.empty()) {
            return best;
        }
        plan_by_binding(request, loss, index, best);
    }
    return best;
}

void allocation::plan_in_bound(const work_request& request, const loss_function& loss,
                               std::optional<placement_plan>& best) const
{
    const auto need = need_of(request.shape);
    for (std::size_t index = 0; index < guarantees_.size(); ++index) {
        const auto& instance = guarantees_[index];
        const auto has = need_of(instance.shape);
        if (instance.workspace == request.workspace && instance.bound && has.level >= need.level &&
            has.width_level >= need.width_level) {
            consider(request, loss, index, *instance.bound, best);
        }
    }
}

void allocation::plan_by_binding(const work_request& request, const loss_function& loss,
                                 std::size_t instance, std::optional<placement_plan>& best) const
{
    const auto need = need_of(guarantees_[instance].shape);
    std::set<removed_cell> safe;
    std::set<removed_cell> unsafe;
    const auto is_safe = [&](const cell& where) {
        const removed_cell without{hardware_.width_level(where.line), where.level,
                                   available_.enclosing_level(where)};
        if (safe.contains(without) || unsafe.contains(without)) {
            return safe.contains(without);
        }
        const bool allowed = removal_is_safe(without, instance);
        (allowed ? safe : unsafe).insert(without);
        return allowed;
    };
    const auto is_best = [&best] { return best && best->victims.empty(); };
    // Whole free cells first: they cost nothing, and the smallest leaves larger ones whole.
    free_.any_fit(need, [&](const cell& where) {
        if (is_safe(where)) {
            consider(request, loss, instance, where, best);
        }
        return is_best();
    });
    if (is_best()) {
        return;
    }
    available_.any_fit(need, [&](const cell& fitting) {
        const auto whole = available_.enclosing_level(fitting);
        const auto end = fitting.first + (std::uint32_t{1} << whole);
        for (auto first = fitting.first; first < end; first += fitting.size()) {
            const cell where{fitting.line, first, fitting.level};
            if (is_safe(where)) {
                consider(request, loss, instance, where, best);
            }
        }
        return is_best();
    });
}

void allocation::consider(const work_request& request, const loss_function& loss,
                          std::size_t instance, const cell& bound,
                          std::optional<placement_plan>& best) const
{
    const auto level = need_of(request.shape).level;
    const auto step = std::uint32_t{1} << level;
    for (auto first = bound.first; first < bound.first + bound.size(); first += step) {
        const cell where{bound.line, first, level};
        auto victims = victims_in(request, where);
        if (!victims) {
            continue;
        }
        double lost = 0;
        for (const auto victim : *victims) {
            lost += loss(victim);
        }
        const bool better = !best || (victims->empty() && !best->victims.empty()) ||
                            (!best->victims.empty() && lost < best->loss);
        if (better) {
            best = placement_plan{where, instance, bound, std::move(*victims), lost};
        }
        if (best->victims.empty()) {
            return;
        }
    }
}

std::optional<std::vector<work_id>> allocation::victims_in(const work_request& request,
                                                           const cell& where) const
{
    std::vector<work_id> victims;
    for (const auto offset : footprint(where, request.shape)) {
        const auto& state = state_at({where.line, offset});
        if (is_free(state)) {
            continue;
        }
        if (!gives_way(state)) {
            return std::nullopt;
        }
        if (std::ranges::find(victims, state.occupant) == victims.end()) {
            victims.push_back(state.occupant);
        }
    }
    return victims;
}

std::optional<placement_plan> allocation::plan_free(const work_request& request,
                                                    const plan_options& options) const
{
    const auto need = need_of(request.shape);
    std::optional<cell> found;
    if (request.stoppable) {
        found = free_.best_fit(need);
        found = found ? found : bound_free_.best_fit(need);
        if (!found && options.use_reserved) {
            found = reserved_free_.best_fit(need);
        }
    } else {
        found = find_pinned(request, free_);
        if (!found && options.use_reserved) {
            found = find_pinned(request, reserved_free_);
        }
    }
    if (!found && request.shape.total() != (std::uint64_t{1} << need.level)) {
        found = find_partial(request, options.use_reserved);
    }
    if (!found) {
        return std::nullopt;
    }
    return placement_plan{.where = *found};
}

std::optional<cell> allocation::find_pinned(const work_request& request,
                                            const cell_index& free) const
{
    std::set<removed_cell> unsafe;
    std::optional<cell> found;
    free.any_fit(need_of(request.shape), [&](const cell& where) {
        if (!available_.contains(where)) {
            return false;
        }
        const removed_cell without{hardware_.width_level(where.line), where.level,
                                   available_.enclosing_level(where)};
        if (unsafe.contains(without)) {
            return false;
        }
        if (removal_is_safe(without, std::nullopt)) {
            found = where;
            return true;
        }
        unsafe.insert(without);
        return false;
    });
    return found;
}

std::optional<cell> allocation::find_partial(const work_request& request, bool use_reserved) const
{
    const auto need = need_of(request.shape);
    for (std::uint32_t line = 0; line < lines_.size(); ++line) {
        if (hardware_.width_level(line) < need.width_level) {
            continue;
        }
        for (std::uint32_t first = 0; first < lines_[line].size(); first += 1U << need.level) {
            const auto used = footprint({line, first, need.level}, request.shape);
            std::vector<accelerator_place> places;
            for (const auto offset : used) {
                const bool exists = offset < lines_[line].size();
                const bool usable = exists && is_free(lines_[line][offset]) &&
                                    (use_reserved || !lines_[line][offset].reserved) &&
                                    (request.stoppable || !lines_[line][offset].bound);
                if (!usable) {
                    break;
                }
                places.push_back({line, offset});
            }
            const bool whole = places.size() == used.size();
            if (whole && (request.stoppable || places_are_safe(places))) {
                return cell{line, first, need.level};
            }
        }
    }
    return std::nullopt;
}

} // namespace poplarstile::placement
