#include "rules/rules_replica.hpp"

#include <algorithm>

namespace poplarstile::rules
{

bool rules_replica::take(const stored_rules& stored)
{
    if (stored.state.version <= state_.version) {
        return false;
    }
    state_ = stored.state;
    changes_.clear();
    remember(stored.changes);
    return true;
}

bool rules_replica::take(const rules_state& snapshot)
{
    auto outcome = apply_snapshot(state_, snapshot);
    auto* const next = std::get_if<rules_state>(&outcome);
    if (next == nullptr) {
        return false;
    }
    state_ = std::move(*next);
    changes_.clear();
    return true;
}

bool rules_replica::take(const rules_delta& delta)
{
    const auto before = state_.version;
    auto outcome = apply_delta(state_, delta);
    auto* const next = std::get_if<rules_state>(&outcome);
    if (next == nullptr) {
        return false;
    }
    state_ = std::move(*next);
    remember(std::span{delta.changes}.subspan(before - delta.from));
    return true;
}

std::optional<rules_delta> rules_replica::changes_after(rules_version version) const
{
    return delta_after(changes_, version);
}

void rules_replica::remember(std::span<const change_record> changes)
{
    changes_.insert(changes_.end(), changes.begin(), changes.end());
    if (changes_.size() > replica_history) {
        const auto surplus = static_cast<std::ptrdiff_t>(changes_.size() - replica_history);
        changes_.erase(changes_.begin(), changes_.begin() + surplus);
    }
}

} // namespace poplarstile::rules
