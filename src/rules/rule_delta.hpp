#pragma once

#include "rules/rule_record.hpp"

#include <span>
#include <variant>
#include <vector>

/// How rules spread between VMs: the changes after a version, or all lines at once.
namespace poplarstile::rules
{

/// Changes in order, from `from` + 1 on without a gap.
struct rules_delta {
    rules_version from = 0;
    std::vector<change_record> changes{};

    bool operator==(const rules_delta&) const = default;

    /// The version that the delta leads to.
    [[nodiscard]] rules_version to() const
    {
        return from + changes.size();
    }
};

/// The delta after `version`, from changes in order up to the newest; nothing when they do not
/// reach back that far.
[[nodiscard]] std::optional<rules_delta> delta_after(std::span<const change_record> changes,
                                                     rules_version version);

/// The receiver is at this version or a later one already; versions never go back.
struct delta_outdated {
    rules_version have = 0;
};

/// The receiver lacks changes before the delta, or its lines are not those that the delta was made
/// on; it needs a delta from `have` or a snapshot.
struct delta_gap {
    rules_version have = 0;
};

using delta_outcome = std::variant<rules_state, delta_outdated, delta_gap>;

/// Applies a delta whole or not at all. Changes that the receiver has are skipped.
[[nodiscard]] delta_outcome apply_delta(const rules_state& state, const rules_delta& delta);

/// Takes a whole state over if it is newer.
[[nodiscard]] delta_outcome apply_snapshot(const rules_state& state, const rules_state& snapshot);

[[nodiscard]] nlohmann::json to_json(const rules_delta& delta);
[[nodiscard]] base::result<rules_delta> delta_from_json(const nlohmann::json& value,
                                                        std::string_view place);

} // namespace poplarstile::rules
