#pragma once

#include "rules/rule_delta.hpp"
#include "rules/rule_store.hpp"

#include <cstddef>
#include <optional>
#include <vector>

/// One VM's copy of the accepted rules.
namespace poplarstile::rules
{

/// Changes that a copy keeps to bring others up to date by a delta.
inline constexpr std::size_t replica_history = 512;

/// The rules as this VM has them, and the latest changes that led there. The version only grows,
/// whatever arrives in whatever order. Not thread-safe; copies are cheap enough to publish.
class rules_replica
{
public:
    /// Takes what was read from the table; false when it is not newer.
    bool take(const stored_rules& stored);

    /// Takes a whole state from another VM; false when it is not newer.
    bool take(const rules_state& snapshot);

    /// Takes changes; false when they bring nothing new or don't follow this state, which a
    /// snapshot then has to replace.
    bool take(const rules_delta& delta);

    /// The changes after a version; nothing when only a snapshot can serve.
    [[nodiscard]] std::optional<rules_delta> changes_after(rules_version version) const;

    [[nodiscard]] const rules_state& state() const
    {
        return state_;
    }
    [[nodiscard]] rules_version version() const
    {
        return state_.version;
    }

private:
    void remember(std::span<const change_record> changes);

    rules_state state_;
    std::vector<change_record> changes_;
};

} // namespace poplarstile::rules
