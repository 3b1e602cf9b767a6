#include "membership/internal/group_state.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace poplarstile::membership::internal
{
namespace
{

using peer::member_state;

/// A pause says nothing good about the next moments either.
constexpr unsigned pause_penalty = 2;

} // namespace

group_state::group_state(const config& limits, self_description self, std::vector<seed> seeds,
                         std::uint64_t random_seed)
    : limits_{limits}, self_{std::move(self)}, seeds_{std::move(seeds)}, random_{random_seed},
      roster_{limits, self_}
{
}

std::vector<action> group_state::decide(const event& what)
{
    now_ = std::visit([](const auto& any) { return any.now; }, what);
    actions_.clear();
    notice_pause();
    std::visit([this](const auto& any) { on(any); }, what);
    return std::exchange(actions_, {});
}

const roster& group_state::others() const
{
    return roster_;
}

member group_state::self() const
{
    return {.vm = self_.vm,
            .failure_domain = self_.failure_domain,
            .address = self_.address,
            .state = leaving_ ? member_state::leaving : member_state::alive,
            .incarnation = self_.incarnation,
            .rules_version = rules_version_};
}

bool group_state::is_delegate() const
{
    const auto ids = roster_.delegates(self_.failure_domain, leaving_);
    return std::ranges::find(ids, self_.vm) != ids.end();
}

const std::map<std::string, peer::lease_view, std::less<>>& group_state::leases() const
{
    return leases_;
}

unsigned group_state::health_score() const
{
    return health_score_;
}

void group_state::on(const tick& /*what*/)
{
    check_pending_probes();
    check_suspicions();
    roster_.drop_tombstones(now_);
    if (now_ >= next_own_probe_) {
        next_own_probe_ = now_ + scaled(limits_.probe_interval);
        probe_own_domain();
        ask_for_members();
    }
    if (now_ >= next_delegate_probe_) {
        next_delegate_probe_ = now_ + scaled(limits_.delegate_interval);
        if (is_delegate()) {
            probe_other_domain();
        }
    }
    if (now_ >= next_doubted_probe_) {
        next_doubted_probe_ = now_ + limits_.probe_timeout;
        probe_doubted();
    }
    if (now_ >= next_missing_probe_) {
        const bool alone = roster_.entries().empty();
        next_missing_probe_ = now_ + (alone ? limits_.probe_interval : limits_.dead_probe_interval);
        probe_missing();
    }
}

void group_state::on(const message_received& what)
{
    std::visit([this](const auto& body) { receive(body); }, what.body);
}

void group_state::on(const probe_failed& what)
{
    const auto found = pending_.find(what.probe);
    if (found != pending_.end()) {
        found->second.indirect_at = now_;
        check_pending_probes();
    }
}

void group_state::on(const vm_list_received& what)
{
    seeds_ = what.vms;
}

void group_state::on(const leave_requested& /*what*/)
{
    if (leaving_) {
        return;
    }
    leaving_ = true;
    announce(self_.vm);
    spread_leave(self_.vm, self_.incarnation);
}

void group_state::on(const rules_in_force& what)
{
    rules_version_ = std::max(rules_version_, what.version);
}

void group_state::on(const lease_observed& what)
{
    const auto found = leases_.find(what.lease.failure_domain);
    if (found == leases_.end() || what.lease.epoch >= found->second.epoch) {
        leases_.insert_or_assign(what.lease.failure_domain, what.lease);
    }
}

void group_state::receive(const peer::ping& body)
{
    take_in(body.header);
    if (body.target != self_.vm) {
        return;
    }
    send(body.header.from, address_of(body.header.from),
         peer::ping_ack{
             .probe = body.probe, .target = self_.vm, .header = header_for(body.header.from)});
}

void group_state::receive(const peer::ping_ack& body)
{
    take_in(body.header);
    if (pending_.erase(body.probe) > 0) {
        lower_health_score();
        return;
    }
    const auto relayed = relayed_.find(body.probe);
    if (relayed == relayed_.end()) {
        return;
    }
    const auto request = relayed->second;
    relayed_.erase(relayed);
    send(request.requester, address_of(request.requester),
         peer::ping_ack{.probe = request.requester_probe,
                        .target = body.target,
                        .header = header_for(request.requester)});
}

void group_state::receive(const peer::ping_request& body)
{
    take_in(body.header);
    const auto* target = roster_.find(body.target);
    if (target == nullptr) {
        return;
    }
    const auto number = ++last_probe_;
    relayed_.emplace(number, relayed_probe{.requester = body.header.from,
                                           .requester_probe = body.probe,
                                           .expires_at = now_ + limits_.probe_interval});
    send(target->facts.vm, target->facts.address,
         peer::ping{.probe = number, .target = body.target, .header = header_for(body.target)});
}

void group_state::receive(const peer::leave& body)
{
    const auto* known = roster_.find(body.vm);
    if (known == nullptr) {
        return;
    }
    auto claim = update_of(*known);
    claim.state = member_state::leaving;
    claim.incarnation = body.incarnation;
    take_in(claim);
}

void group_state::receive(const peer::members_request& body)
{
    peer::members_reply reply{.from = self_.vm};
    const auto& all = roster_.entries();
    auto next = all.upper_bound(body.after);
    for (; next != all.end() && reply.updates.size() < limits_.page_members; ++next) {
        if (next->second.facts.state != member_state::dead) {
            reply.updates.push_back(update_of(next->second));
        }
    }
    reply.more = next != all.end();
    send(body.from, address_of(body.from), std::move(reply));
}

// What a page says is known to the others, so it is not passed on as news.
void group_state::receive(const peer::members_reply& body)
{
    for (const auto& claim : body.updates) {
        if (claim.vm != self_.vm) {
            report(roster_.apply(claim, now_));
        }
    }
    if (!body.more || body.updates.empty()) {
        page_cursor_.reset();
    } else if (page_cursor_) {
        page_cursor_ = body.updates.back().vm;
    }
}

// Timers that come late say that this process, not the others, was away.
void group_state::notice_pause()
{
    const auto before = std::exchange(last_event_, now_);
    if (!std::exchange(started_, true) || now_ - before <= limits_.pause_threshold) {
        return;
    }
    const auto gap = now_ - before;
    roster_.postpone_suspicions(gap);
    pending_.clear();
    relayed_.clear();
    raise_health_score(pause_penalty);
    actions_.emplace_back(pause_noticed{.gap = std::chrono::duration_cast<milliseconds>(gap)});
}

void group_state::check_pending_probes()
{
    std::vector<pending_probe> failed;
    for (auto next = pending_.begin(); next != pending_.end();) {
        auto& [number, probe] = *next;
        if (now_ >= probe.fail_at) {
            failed.push_back(probe);
            next = pending_.erase(next);
            continue;
        }
        if (now_ >= probe.indirect_at && !probe.indirect_sent) {
            probe.indirect_sent = true;
            send_indirect_probes(number, probe);
        }
        ++next;
    }
    for (const auto& probe : failed) {
        fail(probe);
    }
    std::erase_if(relayed_, [this](const auto& item) { return now_ >= item.second.expires_at; });
}

void group_state::check_suspicions()
{
    for (auto& died : roster_.expire_suspicions(now_)) {
        announce(died.now_is.vm);
        actions_.emplace_back(std::move(died));
    }
}

milliseconds group_state::scaled(milliseconds healthy) const
{
    return healthy * (1 + health_score_);
}

void group_state::raise_health_score(unsigned by)
{
    health_score_ = std::min(limits_.max_health_score, health_score_ + by);
}

void group_state::lower_health_score()
{
    health_score_ = health_score_ == 0 ? 0 : health_score_ - 1;
}

void group_state::send(std::string_view vm, std::string_view address, peer::message body)
{
    if (address.empty()) {
        return;
    }
    actions_.emplace_back(send_message{
        .vm = std::string{vm}, .address = std::string{address}, .body = std::move(body)});
}

std::string group_state::address_of(std::string_view vm) const
{
    if (const auto* known = roster_.find(vm); known != nullptr) {
        return known->facts.address;
    }
    const auto listed = std::ranges::find(seeds_, vm, &seed::vm);
    return listed == seeds_.end() ? std::string{} : listed->address;
}

std::vector<const entry*> group_state::pick(std::vector<const entry*> from, std::size_t count)
{
    std::ranges::shuffle(from, random_);
    from.resize(std::min(from.size(), count));
    return from;
}

} // namespace poplarstile::membership::internal
