#include "placement/allocation.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::placement
{

allocation::allocation(topology hardware)
    : hardware_{std::move(hardware)}, available_{hardware_}, free_{hardware_},
      bound_free_{hardware_}, reserved_free_{hardware_}
{
    const auto lines = hardware_.lines();
    for (std::uint32_t line = 0; line < lines.size(); ++line) {
        lines_.emplace_back(lines[line].size());
        free_accelerators_ += lines[line].size();
        for (std::uint32_t offset = 0; offset < lines[line].size(); ++offset) {
            refresh({line, offset});
        }
    }
}

std::vector<guarantee_instance> allocation::instances_of(const rules::ruleset& rules,
                                                         std::string_view failure_domain)
{
    std::vector<guarantee_instance> instances;
    for (const auto& line : rules.lines) {
        const auto* const rule = std::get_if<rules::guarantee_rule>(&line.body);
        if (rule != nullptr && rule->failure_domain == failure_domain) {
            instances.insert(
                instances.end(), rule->count,
                {.workspace = rule->workspace, .shape = rule->guaranteed, .rule = line.text});
        }
    }
    return instances;
}

void allocation::set_guarantees(std::vector<guarantee_instance> guarantees)
{
    const auto old = std::exchange(guarantees_, std::move(guarantees));
    std::vector<std::optional<std::size_t>> moved_to(old.size());
    for (std::size_t index = 0; index < old.size(); ++index) {
        const auto& before = old[index];
        if (!before.bound) {
            continue;
        }
        const auto same =
            std::ranges::find_if(guarantees_, [&before](const guarantee_instance& instance) {
                return !instance.bound && instance.workspace == before.workspace &&
                       need_of(instance.shape) == need_of(before.shape);
            });
        if (same == guarantees_.end()) {
            continue;
        }
        same->bound = before.bound;
        same->works = before.works;
        moved_to[index] = static_cast<std::size_t>(same - guarantees_.begin());
        mark_bound(*before.bound, moved_to[index]);
    }
    for (auto& [id, work] : works_) {
        if (work.instance) {
            work.instance = moved_to[*work.instance];
        }
    }
    // Cells of guarantees that are gone are marked after their works have lost the guarantee.
    for (std::size_t index = 0; index < old.size(); ++index) {
        if (old[index].bound && !moved_to[index]) {
            mark_bound(*old[index].bound, std::nullopt);
        }
    }
    ++freed_count_;
}

void allocation::set_usable(std::size_t worker, std::uint32_t accelerator, bool usable)
{
    const auto place = hardware_.place_of(worker, accelerator);
    auto& state = state_at(place);
    if (state.usable == usable) {
        return;
    }
    free_accelerators_ -= is_free(state) ? 1 : 0;
    state.usable = usable;
    free_accelerators_ += is_free(state) ? 1 : 0;
    freed_count_ += usable ? 1 : 0;
    if (state.bound) {
        auto& unusable = guarantees_[*state.bound].unusable;
        unusable = usable ? unusable - 1 : unusable + 1;
    }
    refresh(place);
}

void allocation::reserve(const cell& where)
{
    reserved_.push_back(where);
    const auto end = std::min(where.first + where.size(), hardware_.lines()[where.line].size());
    for (auto offset = where.first; offset < end; ++offset) {
        state_at({where.line, offset}).reserved = true;
        refresh({where.line, offset});
    }
}

void allocation::clear_reservations()
{
    for (const auto& where : std::exchange(reserved_, {})) {
        const auto end = std::min(where.first + where.size(), hardware_.lines()[where.line].size());
        for (auto offset = where.first; offset < end; ++offset) {
            state_at({where.line, offset}).reserved = false;
            refresh({where.line, offset});
        }
    }
    ++freed_count_;
}

void allocation::commit(const placement_plan& plan, const work_request& request)
{
    work_state work{.request = request, .where = plan.where, .instance = plan.instance};
    work.claiming = !plan.victims.empty();
    for (const auto offset : footprint(plan.where, request.shape)) {
        work.places.push_back({plan.where.line, offset});
    }
    if (plan.instance) {
        bind(*plan.instance, plan.bound);
    }
    const auto& added = works_.insert_or_assign(request.id, std::move(work)).first->second;
    for (const auto& place : added.places) {
        auto& state = state_at(place);
        free_accelerators_ -= is_free(state) ? 1 : 0;
        (added.claiming ? state.claimant : state.occupant) = request.id;
        refresh(place);
    }
}

void allocation::adopt(const work_request& request, std::span<const member_place> members,
                       std::optional<std::uint32_t> guarantee_level)
{
    work_state work{.request = request};
    for (const auto& member : members) {
        for (const auto at : member.accelerators) {
            work.places.push_back(hardware_.place_of(member.worker, at));
        }
    }
    if (work.places.empty()) {
        return;
    }
    const auto& first = work.places.front();
    const auto level = guarantee_level.value_or(need_of(request.shape).level);
    const cell whole{first.line, (first.offset >> level) << level, level};
    const auto need_level = need_of(request.shape).level;
    work.where = {first.line, (first.offset >> need_level) << need_level, need_level};
    const auto end = whole.first + whole.size();
    const bool inside = std::ranges::all_of(work.places, [&](const accelerator_place& place) {
        return place.line == whole.line && place.offset >= whole.first && place.offset < end;
    });
    const bool exists = end <= hardware_.lines()[whole.line].size();
    if (guarantee_level && inside && exists) {
        for (std::size_t index = 0; index < guarantees_.size() && !work.instance; ++index) {
            const auto& instance = guarantees_[index];
            const bool joins = instance.bound == whole;
            const bool binds =
                !instance.bound && need_of(instance.shape).level == level && !any_bound(whole);
            if (instance.workspace == request.workspace && (joins || binds)) {
                work.instance = index;
            }
        }
    }
    if (work.instance) {
        bind(*work.instance, whole);
    }
    const auto& added = works_.insert_or_assign(request.id, std::move(work)).first->second;
    for (const auto& place : added.places) {
        auto& state = state_at(place);
        free_accelerators_ -= is_free(state) ? 1 : 0;
        state.occupant = request.id;
        refresh(place);
    }
}

allocation::claim_state allocation::claim_of(work_id work) const
{
    const auto found = works_.find(work);
    if (found == works_.end() || !found->second.claiming) {
        return claim_state::none;
    }
    bool waits = false;
    for (const auto& place : found->second.places) {
        const auto& state = state_at(place);
        if (!state.usable) {
            return claim_state::broken;
        }
        waits = waits || state.occupant != 0;
    }
    return waits ? claim_state::waiting : claim_state::ready;
}

void allocation::occupy(work_id work)
{
    auto& found = works_.at(work);
    found.claiming = false;
    for (const auto& place : found.places) {
        auto& state = state_at(place);
        state.claimant = 0;
        state.occupant = work;
        refresh(place);
    }
}

void allocation::release(work_id work)
{
    const auto found = works_.find(work);
    if (found == works_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    works_.erase(found);
    for (const auto& place : ended.places) {
        auto& state = state_at(place);
        free_accelerators_ -= is_free(state) ? 1 : 0;
        state.occupant = state.occupant == work ? 0 : state.occupant;
        state.claimant = state.claimant == work ? 0 : state.claimant;
        free_accelerators_ += is_free(state) ? 1 : 0;
        refresh(place);
    }
    if (ended.instance) {
        unbind(*ended.instance);
    }
    ++freed_count_;
}

allocation::accelerator_state& allocation::state_at(const accelerator_place& place)
{
    return lines_[place.line][place.offset];
}

const allocation::accelerator_state& allocation::state_at(const accelerator_place& place) const
{
    return lines_[place.line][place.offset];
}

bool allocation::is_free(const accelerator_state& state) const
{
    return state.usable && state.occupant == 0 && state.claimant == 0;
}

bool allocation::gives_way(const accelerator_state& state) const
{
    if (!state.usable || state.occupant == 0 || state.claimant != 0) {
        return false;
    }
    const auto& work = works_.at(state.occupant);
    return work.request.stoppable && !work.instance;
}

void allocation::refresh(const accelerator_place& place)
{
    const auto& state = state_at(place);
    const bool free = is_free(state);
    available_.set(place, !state.bound && (free || gives_way(state)));
    free_.set(place, free && !state.bound && !state.reserved);
    bound_free_.set(place, free && state.bound && !state.reserved);
    reserved_free_.set(place, free && state.reserved);
}

void allocation::bind(std::size_t instance, const cell& where)
{
    auto& guarantee = guarantees_[instance];
    ++guarantee.works;
    if (!guarantee.bound) {
        guarantee.bound = where;
        mark_bound(where, instance);
    }
}

void allocation::unbind(std::size_t instance)
{
    auto& guarantee = guarantees_[instance];
    --guarantee.works;
    if (guarantee.works == 0) {
        const auto where = *std::exchange(guarantee.bound, std::nullopt);
        guarantee.unusable = 0;
        mark_bound(where, std::nullopt);
    }
}

bool allocation::any_bound(const cell& where) const
{
    const auto& line = lines_[where.line];
    const auto first = line.begin() + where.first;
    return std::any_of(first, first + where.size(),
                       [](const accelerator_state& state) { return state.bound.has_value(); });
}

void allocation::mark_bound(const cell& where, std::optional<std::size_t> instance)
{
    std::uint32_t unusable = 0;
    for (auto offset = where.first; offset < where.first + where.size(); ++offset) {
        auto& state = state_at({where.line, offset});
        state.bound.reset();
        if (instance) {
            state.bound = static_cast<std::uint32_t>(*instance);
        }
        unusable += state.usable ? 0 : 1;
        refresh({where.line, offset});
    }
    if (instance) {
        guarantees_[*instance].unusable = unusable;
    }
}

} // namespace poplarstile::placement
