// The part of group_state that fills messages with news and takes in what others say.
#include "membership/internal/group_state.hpp"

#include <algorithm>
#include <cmath>

namespace poplarstile::membership::internal
{
namespace
{

using peer::member_state;

/// Tombstones are repeated only while they are fresh, so that they don't keep each other alive.
constexpr milliseconds tombstone_refresh{60'000};

unsigned logarithm(std::size_t count)
{
    return static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(count) + 2.0)));
}

} // namespace

peer::gossip group_state::header_for(std::string_view vm)
{
    return {.from = self_.vm,
            .incarnation = self_.incarnation,
            .rules_version = rules_version_,
            .updates = updates_for(vm),
            .leases = leases_to_send()};
}

// First the sender itself, then what the receiver must deny, then news, then known facts.
std::vector<peer::member_update> group_state::updates_for(std::string_view vm)
{
    std::vector<peer::member_update> updates{own_update()};
    const auto* receiver = roster_.find(vm);
    if (receiver != nullptr && receiver->facts.state != member_state::alive) {
        updates.push_back(update_of(*receiver));
    }
    const bool foreign =
        receiver != nullptr && receiver->facts.failure_domain != self_.failure_domain;
    auto& news = foreign ? foreign_news_ : own_news_;
    const auto audience =
        foreign ? roster_.foreign_domains().size() : roster_.present(self_.failure_domain).size();
    const auto limit = limits_.retransmit_factor * logarithm(audience);
    for (const auto& id : news.take(limits_.max_updates - updates.size(), limit)) {
        if (const auto* known = roster_.find(id); known != nullptr && id != vm) {
            updates.push_back(update_of(*known));
        }
    }
    const bool joining = receiver == nullptr || receiver->facts.state == member_state::dead;
    append_refresh(updates, joining ? limits_.max_updates : limits_.refresh_updates);
    return updates;
}

void group_state::append_refresh(std::vector<peer::member_update>& updates, std::size_t count)
{
    for (std::size_t looked = 0; looked < roster_.entries().size(); ++looked) {
        if (count == 0 || updates.size() >= limits_.max_updates) {
            return;
        }
        const auto* next = roster_.next_after(refresh_cursor_);
        refresh_cursor_ = next->facts.vm;
        const bool old_tombstone =
            next->facts.state == member_state::dead && now_ - next->dead_since > tombstone_refresh;
        const bool present =
            std::ranges::find(updates, next->facts.vm, &peer::member_update::vm) != updates.end();
        if (!old_tombstone && !present) {
            updates.push_back(update_of(*next));
            --count;
        }
    }
}

std::vector<peer::lease_view> group_state::leases_to_send()
{
    std::vector<peer::lease_view> chosen;
    const auto count = std::min(limits_.max_leases, leases_.size());
    while (chosen.size() < count) {
        auto next = leases_.upper_bound(lease_cursor_);
        if (next == leases_.end()) {
            next = leases_.begin();
        }
        lease_cursor_ = next->first;
        chosen.push_back(next->second);
    }
    return chosen;
}

void group_state::take_in(const peer::gossip& header)
{
    for (const auto& claim : header.updates) {
        take_in(claim);
    }
    for (const auto& lease : header.leases) {
        take_in(lease);
    }
    if (header.rules_version > rules_version_) {
        actions_.emplace_back(newer_rules_seen{.vm = header.from,
                                               .address = address_of(header.from),
                                               .version = header.rules_version});
    }
}

void group_state::take_in(const peer::member_update& claim)
{
    if (claim.vm == self_.vm) {
        deny(claim);
        return;
    }
    note(claim.vm, roster_.apply(claim, now_));
}

void group_state::take_in(const peer::lease_view& lease)
{
    const auto found = leases_.find(lease.failure_domain);
    if (found != leases_.end() && lease.epoch <= found->second.epoch) {
        return;
    }
    leases_.insert_or_assign(lease.failure_domain, lease);
    actions_.emplace_back(lease_learned{.lease = lease});
}

// A claim about this VM that is not so is overridden by a greater incarnation.
void group_state::deny(const peer::member_update& claim)
{
    const auto own = leaving_ ? member_state::leaving : member_state::alive;
    const bool overrides_us = claim.incarnation > self_.incarnation ||
                              (claim.incarnation == self_.incarnation && claim.state > own);
    if (!overrides_us) {
        return;
    }
    self_.incarnation = claim.incarnation + 1;
    announce(self_.vm);
    if (claim.state == member_state::suspect || claim.state == member_state::dead) {
        raise_health_score(1);
        actions_.emplace_back(
            refuted{.incarnation = self_.incarnation, .reporter = claim.reporter});
    }
}

void group_state::note(std::string_view vm, const change& what)
{
    if (what.news) {
        announce(vm);
    }
    report(what);
}

void group_state::report(const change& what)
{
    if (!what.seen) {
        return;
    }
    const auto& now_is = what.seen->now_is;
    actions_.emplace_back(*what.seen);
    if (now_is.state == member_state::leaving) {
        spread_leave(now_is.vm, now_is.incarnation);
    }
}

void group_state::announce(std::string_view vm)
{
    own_news_.add(vm);
    if (is_delegate()) {
        foreign_news_.add(vm);
    }
}

// Goes out at once and is passed on by every VM that learns it, each time to a fixed number.
void group_state::spread_leave(std::string_view vm, std::uint64_t incarnation)
{
    auto receivers = pick(roster_.present(self_.failure_domain), limits_.leave_fanout);
    if (is_delegate() || vm == self_.vm) {
        for (const auto& domain : roster_.foreign_domains()) {
            for (const auto& id : roster_.delegates(domain, leaving_)) {
                receivers.push_back(roster_.find(id));
            }
        }
    }
    for (const auto* receiver : receivers) {
        if (receiver != nullptr && receiver->facts.vm != vm) {
            send(receiver->facts.vm, receiver->facts.address,
                 peer::leave{.vm = std::string{vm}, .incarnation = incarnation});
        }
    }
}

peer::member_update group_state::own_update() const
{
    const auto facts = self();
    return {.vm = facts.vm,
            .failure_domain = facts.failure_domain,
            .address = facts.address,
            .state = facts.state,
            .incarnation = facts.incarnation,
            .rules_version = facts.rules_version};
}

peer::member_update group_state::update_of(const entry& known)
{
    return {.vm = known.facts.vm,
            .failure_domain = known.facts.failure_domain,
            .address = known.facts.address,
            .state = known.facts.state,
            .incarnation = known.facts.incarnation,
            .rules_version = known.facts.rules_version,
            .reporter = known.reporter};
}

} // namespace poplarstile::membership::internal
