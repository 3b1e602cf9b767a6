#include "scheduling/gang.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::scheduling
{

using workers::task_state;

gang::gang(std::vector<gang_member> members, base::time_point now)
    : members_{std::move(members)}, phase_since_{now}
{
}

gang gang::adopt(std::vector<gang_member> members, std::size_t gang_size, bool released,
                 base::time_point now)
{
    gang found{std::move(members), now};
    found.released_ = released;
    found.whole_ = found.members_.size() == gang_size;
    bool failed = false;
    bool lost = !found.whole_;
    bool started = false;
    for (auto& member : found.members_) {
        member.settled = workers::ended(member.state);
        member.confirmed_at = now;
        failed = failed || member.state == task_state::failed;
        lost = lost || member.state == task_state::stopped || member.state == task_state::expired;
        started = started || member.state == task_state::running ||
                  member.state == task_state::completed || member.state == task_state::failed;
    }
    if (started) {
        found.released_ = true;
        found.phase_ = gang_phase::releasing;
    }
    if (failed || lost) {
        found.stop(failed ? stop_cause::member_failed : stop_cause::member_lost, now);
    }
    found.advance(now);
    return found;
}

void gang::record_state(std::string_view task, task_state state, base::time_point now)
{
    auto* const member = find(task);
    if (member == nullptr || member->settled) {
        return;
    }
    // A late answer to the hold must not hide that the task has started since.
    const bool goes_back = member->state == task_state::running && state == task_state::held;
    if (goes_back || state == task_state::absent) {
        return;
    }
    if (member->state == task_state::absent) {
        member->confirmed_at = now;
    }
    member->state = state;
    member->settled = workers::ended(state);
    const bool lost = state == task_state::expired || state == task_state::stopped;
    if (lost && phase_ != gang_phase::stopping) {
        stop(stop_cause::member_lost, now);
    }
    if (state == task_state::failed && phase_ != gang_phase::stopping) {
        stop(stop_cause::member_failed, now);
    }
    advance(now);
}

void gang::record_refusal(std::string_view task, base::time_point now)
{
    auto* const member = find(task);
    if (member == nullptr || member->state != task_state::absent) {
        return;
    }
    member->settled = true;
    stop(stop_cause::member_refused, now);
    advance(now);
}

void gang::record_absence(std::string_view task, base::time_point asked_at, base::time_point now)
{
    const auto* const member = find(task);
    const bool confirmed = member != nullptr && member->state != task_state::absent;
    if (confirmed && member->confirmed_at < asked_at) {
        record_state(task, task_state::expired, now);
    }
}

void gang::record_worker_lost(std::size_t worker, base::time_point now)
{
    bool affected = false;
    for (auto& member : members_) {
        if (member.worker == worker && !member.settled) {
            member.state = task_state::expired;
            member.settled = true;
            affected = true;
        }
    }
    if (affected) {
        stop(stop_cause::member_lost, now);
        advance(now);
    }
}

void gang::begin_release(base::time_point now)
{
    if (phase_ == gang_phase::held) {
        released_ = true;
        enter(gang_phase::releasing, now);
    }
}

void gang::stop(stop_cause cause, base::time_point now)
{
    if (phase_ == gang_phase::stopping || phase_ == gang_phase::ended) {
        return;
    }
    cause_ = cause;
    enter(gang_phase::stopping, now);
    advance(now);
}

bool gang::completed() const
{
    return whole_ && std::ranges::all_of(members_, [](const gang_member& member) {
               return member.state == task_state::completed;
           });
}

gang_member* gang::find(std::string_view task)
{
    const auto found = std::ranges::find(members_, task, &gang_member::task);
    return found == members_.end() ? nullptr : &*found;
}

void gang::enter(gang_phase phase, base::time_point now)
{
    phase_ = phase;
    phase_since_ = now;
}

void gang::advance(base::time_point now)
{
    const auto all = [this](auto holds) { return std::ranges::all_of(members_, holds); };
    if (all([](const gang_member& member) { return member.settled; })) {
        enter(gang_phase::ended, now);
        return;
    }
    if (phase_ == gang_phase::holding &&
        all([](const gang_member& member) { return member.state == task_state::held; })) {
        enter(gang_phase::held, now);
    }
    if (phase_ == gang_phase::releasing && all([](const gang_member& member) {
            return member.state == task_state::running || member.state == task_state::completed;
        })) {
        enter(gang_phase::running, now);
    }
}

} // namespace poplarstile::scheduling
