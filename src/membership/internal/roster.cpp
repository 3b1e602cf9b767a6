#include "membership/internal/roster.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace poplarstile::membership::internal
{
namespace
{

using peer::member_state;

/// Further reporters that bring a suspicion to its shortest, where the domain has as many.
constexpr std::size_t confirmations_needed = 3;

/// Up to this many VMs the shortest suspicion is the configured one.
constexpr double small_domain = 10.0;

bool is_doubt(member_state state)
{
    return state == member_state::suspect || state == member_state::dead;
}

bool overrides(const peer::member_update& claim, const member& known)
{
    if (claim.incarnation != known.incarnation) {
        return claim.incarnation > known.incarnation;
    }
    return claim.state > known.state;
}

} // namespace

suspicion::suspicion(time_point since, std::string reporter, std::size_t needed,
                     milliseconds shortest, milliseconds longest)
    : since_{since}, needed_{needed}, shortest_{shortest}, longest_{longest}
{
    reporters_.push_back(std::move(reporter));
}

bool suspicion::confirm(std::string_view reporter)
{
    if (std::ranges::find(reporters_, reporter) != reporters_.end()) {
        return false;
    }
    reporters_.emplace_back(reporter);
    return true;
}

void suspicion::postpone(base::microseconds gap)
{
    since_ += gap;
}

time_point suspicion::deadline() const
{
    const auto confirmed = reporters_.size() - 1;
    if (confirmed >= needed_) {
        return since_ + shortest_;
    }
    const auto share = std::log(static_cast<double>(confirmed) + 1.0) /
                       std::log(static_cast<double>(needed_) + 1.0);
    const auto span = static_cast<double>((longest_ - shortest_).count());
    return since_ + longest_ - milliseconds{static_cast<std::int64_t>(span * share)};
}

roster::roster(const config& limits, self_description self)
    : limits_{limits}, self_{std::move(self)}
{
}

change roster::apply(const peer::member_update& claim, time_point now)
{
    const auto found = entries_.find(claim.vm);
    if (found == entries_.end()) {
        return insert(claim, now);
    }
    auto& known = found->second;
    if (claim.incarnation >= known.facts.incarnation) {
        known.facts.rules_version = std::max(known.facts.rules_version, claim.rules_version);
    }
    if (is_doubt(claim.state) && !is_competent(claim, known.facts.failure_domain)) {
        return {};
    }
    if (overrides(claim, known.facts)) {
        return override_with(known, claim, now);
    }
    const bool confirms = claim.state == member_state::suspect &&
                          known.facts.state == member_state::suspect &&
                          claim.incarnation == known.facts.incarnation;
    if (confirms && known.doubt && known.doubt->confirm(claim.reporter)) {
        known.reporter = claim.reporter;
        return {.news = true};
    }
    return {};
}

change roster::doubt(std::string_view vm, time_point now)
{
    const auto found = entries_.find(vm);
    if (found == entries_.end() || found->second.facts.state == member_state::dead) {
        return {};
    }
    auto& known = found->second;
    if (known.facts.state == member_state::leaving) {
        if (!known.doubt) {
            known.doubt = new_suspicion(known.facts.failure_domain, self_.vm, now);
        }
        return {};
    }
    return apply({.vm = known.facts.vm,
                  .state = member_state::suspect,
                  .incarnation = known.facts.incarnation,
                  .reporter = self_.vm},
                 now);
}

std::vector<member_changed> roster::expire_suspicions(time_point now)
{
    std::vector<member_changed> died;
    for (auto& [vm, known] : entries_) {
        if (!known.doubt || now < known.doubt->deadline()) {
            continue;
        }
        const auto was = known.facts.state;
        known.facts.state = member_state::dead;
        known.reporter = self_.vm;
        known.doubt.reset();
        known.dead_since = now;
        died.push_back({.now_is = known.facts, .was = was});
    }
    return died;
}

void roster::drop_tombstones(time_point now)
{
    std::erase_if(entries_, [&](const auto& item) {
        const auto& known = item.second;
        return known.facts.state == member_state::dead &&
               now - known.dead_since >= limits_.tombstone_keep;
    });
}

void roster::postpone_suspicions(base::microseconds gap)
{
    for (auto& [vm, known] : entries_) {
        if (known.doubt) {
            known.doubt->postpone(gap);
        }
    }
}

const entry* roster::find(std::string_view vm) const
{
    const auto found = entries_.find(vm);
    return found == entries_.end() ? nullptr : &found->second;
}

const std::map<std::string, entry, std::less<>>& roster::entries() const
{
    return entries_;
}

const entry* roster::next_after(std::string_view vm) const
{
    if (entries_.empty()) {
        return nullptr;
    }
    const auto next = entries_.upper_bound(vm);
    return next == entries_.end() ? &entries_.begin()->second : &next->second;
}

std::vector<const entry*> roster::present(std::string_view failure_domain) const
{
    std::vector<const entry*> found;
    for (const auto& [vm, known] : entries_) {
        if (known.facts.state != member_state::dead &&
            known.facts.failure_domain == failure_domain) {
            found.push_back(&known);
        }
    }
    return found;
}

std::vector<std::string> roster::delegates(std::string_view failure_domain, bool self_leaving) const
{
    std::vector<std::string> ids;
    for (const auto* known : present(failure_domain)) {
        if (known->facts.state != member_state::leaving) {
            ids.push_back(known->facts.vm);
        }
    }
    if (failure_domain == self_.failure_domain && !self_leaving) {
        ids.push_back(self_.vm);
        std::ranges::sort(ids);
    }
    ids.resize(std::min(ids.size(), limits_.delegates));
    return ids;
}

std::vector<std::string> roster::foreign_domains() const
{
    std::vector<std::string> domains;
    for (const auto& [vm, known] : entries_) {
        const auto& domain = known.facts.failure_domain;
        if (known.facts.state != member_state::dead && domain != self_.failure_domain &&
            std::ranges::find(domains, domain) == domains.end()) {
            domains.push_back(domain);
        }
    }
    std::ranges::sort(domains);
    return domains;
}

// Another domain that lost sight of a VM can't tell a dead VM from a cut between the two domains.
// Only the VM's own domain, and for its own use the domain of the receiver, may doubt it.
bool roster::is_competent(const peer::member_update& claim, std::string_view failure_domain) const
{
    const auto reporters_domain = domain_of(claim.reporter);
    return reporters_domain == failure_domain || reporters_domain == self_.failure_domain;
}

std::string_view roster::domain_of(std::string_view vm) const
{
    if (vm == self_.vm) {
        return self_.failure_domain;
    }
    const auto* known = find(vm);
    return known == nullptr ? std::string_view{} : std::string_view{known->facts.failure_domain};
}

suspicion roster::new_suspicion(std::string_view failure_domain, std::string_view reporter,
                                time_point now) const
{
    const bool own = failure_domain == self_.failure_domain;
    const auto witnesses = own ? present(failure_domain).size() : limits_.delegates;
    const auto size = static_cast<double>(present(self_.failure_domain).size() + 1);
    const auto growth = std::max(1.0, std::log(size) / std::log(small_domain));
    const auto shortest =
        milliseconds{std::llround(static_cast<double>(limits_.suspicion_min.count()) * growth)};
    const auto needed = std::min(confirmations_needed, witnesses == 0 ? 0 : witnesses - 1);
    return {now, std::string{reporter}, needed, shortest, shortest * limits_.suspicion_max_factor};
}

// A dead VM that was never known here is not remembered: a copy of a tombstone would outlive it.
change roster::insert(const peer::member_update& claim, time_point now)
{
    if (claim.state == member_state::dead || claim.failure_domain.empty() ||
        claim.address.empty()) {
        return {};
    }
    entry added{.facts = {.vm = claim.vm,
                          .failure_domain = claim.failure_domain,
                          .address = claim.address,
                          .state = claim.state,
                          .incarnation = claim.incarnation,
                          .rules_version = claim.rules_version},
                .reporter = claim.reporter};
    if (claim.state == member_state::suspect) {
        added.doubt = new_suspicion(claim.failure_domain, claim.reporter, now);
    }
    const auto& kept = entries_.emplace(claim.vm, std::move(added)).first->second;
    return {.news = true, .seen = member_changed{.now_is = kept.facts, .was = std::nullopt}};
}

change roster::override_with(entry& known, const peer::member_update& claim, time_point now)
{
    const auto was = known.facts.state;
    if (claim.incarnation > known.facts.incarnation && !claim.address.empty()) {
        known.facts.address = claim.address;
        known.facts.failure_domain = claim.failure_domain;
    }
    known.facts.state = claim.state;
    known.facts.incarnation = claim.incarnation;
    known.reporter = is_doubt(claim.state) ? claim.reporter : std::string{};
    known.doubt.reset();
    if (claim.state == member_state::suspect) {
        known.doubt = new_suspicion(known.facts.failure_domain, claim.reporter, now);
    }
    if (claim.state == member_state::dead) {
        known.dead_since = now;
    }
    change result{.news = true};
    if (was != claim.state) {
        result.seen = member_changed{.now_is = known.facts, .was = was};
    }
    return result;
}

} // namespace poplarstile::membership::internal
