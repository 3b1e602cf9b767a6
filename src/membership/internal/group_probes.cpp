// The part of group_state that chooses whom to probe, and what a silent target means.
#include "membership/internal/group_state.hpp"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace poplarstile::membership::internal
{
namespace
{

using peer::member_state;

} // namespace

void group_state::probe_own_domain()
{
    if (const auto* target = next_own_target(); target != nullptr) {
        send_probe(probe_kind::own_domain, target->facts.vm, target->facts.address);
    }
}

// A lost page is asked for again, of whichever member comes up.
void group_state::ask_for_members()
{
    if (!page_cursor_) {
        return;
    }
    std::vector<const entry*> known;
    for (const auto& [vm, each] : roster_.entries()) {
        if (each.facts.state == member_state::alive) {
            known.push_back(&each);
        }
    }
    for (const auto* member : pick(std::move(known), 1)) {
        send(member->facts.vm, member->facts.address,
             peer::members_request{.from = self_.vm, .after = *page_cursor_});
    }
}

// Every member is reached once in each round, in an order that changes from round to round.
const entry* group_state::next_own_target()
{
    if (probe_order_.empty()) {
        for (const auto* known : pick(roster_.present(self_.failure_domain), SIZE_MAX)) {
            probe_order_.push_back(known->facts.vm);
        }
    }
    while (!probe_order_.empty()) {
        const auto* target = roster_.find(probe_order_.back());
        probe_order_.pop_back();
        if (target != nullptr && target->facts.state != member_state::dead) {
            return target;
        }
    }
    return nullptr;
}

void group_state::probe_other_domain()
{
    std::vector<std::string> targets;
    for (const auto& domain : roster_.foreign_domains()) {
        const auto ids = roster_.delegates(domain, leaving_);
        targets.insert(targets.end(), ids.begin(), ids.end());
    }
    if (targets.empty()) {
        return;
    }
    const auto& vm = targets[delegate_cursor_++ % targets.size()];
    send_probe(probe_kind::other_domain, vm, address_of(vm));
}

// A suspect must hear of the suspicion in time to deny it, also from a VM whose own regular probes
// are stretched by its health score.
void group_state::probe_doubted()
{
    const bool delegate = is_delegate();
    std::vector<const entry*> doubted;
    for (const auto& [vm, known] : roster_.entries()) {
        const bool ours = known.facts.failure_domain == self_.failure_domain;
        if (known.doubt && (ours || delegate)) {
            doubted.push_back(&known);
        }
    }
    for (const auto* target : pick(std::move(doubted), 1)) {
        send_probe(probe_kind::revival, target->facts.vm, target->facts.address);
    }
}

// A VM that came back, or a domain that can be reached again, is found by asking the dead.
void group_state::probe_missing()
{
    const auto candidates = missing();
    if (candidates.empty()) {
        return;
    }
    const auto& chosen = candidates[random_() % candidates.size()];
    send_probe(probe_kind::revival, chosen.vm, chosen.address);
}

std::vector<seed> group_state::missing() const
{
    const bool delegate = is_delegate();
    std::vector<seed> found;
    for (const auto& [vm, known] : roster_.entries()) {
        if (known.facts.state == member_state::dead) {
            found.push_back({.vm = vm,
                             .failure_domain = known.facts.failure_domain,
                             .address = known.facts.address});
        }
    }
    for (const auto& listed : seeds_) {
        if (listed.vm != self_.vm && roster_.find(listed.vm) == nullptr) {
            found.push_back(listed);
        }
    }
    std::erase_if(found, [&](const seed& vm) {
        return !delegate && vm.failure_domain != self_.failure_domain;
    });
    return found;
}

void group_state::send_probe(probe_kind kind, std::string_view vm, std::string_view address)
{
    const auto number = ++last_probe_;
    const auto indirect_at = now_ + scaled(limits_.probe_timeout);
    pending_.emplace(number, pending_probe{.kind = kind,
                                           .target = std::string{vm},
                                           .indirect_at = indirect_at,
                                           .fail_at = now_ + scaled(limits_.probe_interval)});
    send(vm, address,
         peer::ping{.probe = number, .target = std::string{vm}, .header = header_for(vm)});
}

void group_state::send_indirect_probes(std::uint64_t number, const pending_probe& probe)
{
    if (probe.kind == probe_kind::revival) {
        return;
    }
    auto helpers = roster_.present(self_.failure_domain);
    const auto* target = roster_.find(probe.target);
    if (target != nullptr && target->facts.failure_domain != self_.failure_domain) {
        const auto there = roster_.present(target->facts.failure_domain);
        helpers.insert(helpers.end(), there.begin(), there.end());
    }
    std::erase_if(helpers, [&](const entry* helper) {
        return helper->facts.vm == probe.target || helper->facts.state == member_state::suspect;
    });
    for (const auto* helper : pick(std::move(helpers), limits_.indirect_probes)) {
        send(helper->facts.vm, helper->facts.address,
             peer::ping_request{
                 .probe = number, .target = probe.target, .header = header_for(helper->facts.vm)});
    }
}

void group_state::fail(const pending_probe& probe)
{
    if (probe.kind == probe_kind::revival) {
        return;
    }
    raise_health_score(1);
    note(probe.target, roster_.doubt(probe.target, now_));
}

} // namespace poplarstile::membership::internal
