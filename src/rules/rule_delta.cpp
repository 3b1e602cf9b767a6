#include "rules/rule_delta.hpp"

#include <algorithm>

namespace poplarstile::rules
{
namespace
{

using base::error;
using base::error_code;
using nlohmann::json;

/// True when the versions are `from` + 1, `from` + 2 and so on.
bool is_gapless(rules_version from, std::span<const change_record> changes)
{
    return std::ranges::all_of(changes, [next = from + 1](const change_record& change) mutable {
        return change.version == next++;
    });
}

} // namespace

std::optional<rules_delta> delta_after(std::span<const change_record> changes,
                                       rules_version version)
{
    if (changes.empty()) {
        return std::nullopt;
    }
    const auto first = std::ranges::find(changes, version + 1, &change_record::version);
    rules_delta delta{version, {first, changes.end()}};
    const bool has_newer = changes.back().version > version;
    if ((delta.changes.empty() && has_newer) || !is_gapless(version, delta.changes)) {
        return std::nullopt;
    }
    return delta;
}

delta_outcome apply_delta(const rules_state& state, const rules_delta& delta)
{
    if (delta.from > state.version || !is_gapless(delta.from, delta.changes)) {
        return delta_gap{state.version};
    }
    if (delta.to() <= state.version) {
        return delta_outdated{state.version};
    }
    auto next = state;
    for (const auto& change : delta.changes) {
        if (change.version <= state.version) {
            continue;
        }
        auto applied = apply_change(next, change);
        if (applied.has_error()) {
            return delta_gap{state.version};
        }
        next = std::move(applied.value());
    }
    return next;
}

delta_outcome apply_snapshot(const rules_state& state, const rules_state& snapshot)
{
    if (snapshot.version <= state.version) {
        return delta_outdated{state.version};
    }
    return snapshot;
}

json to_json(const rules_delta& delta)
{
    auto changes = json::array();
    for (const auto& change : delta.changes) {
        changes.push_back(to_json(change));
    }
    return {{"from", delta.from}, {"changes", std::move(changes)}};
}

base::result<rules_delta> delta_from_json(const json& value, std::string_view place)
{
    const auto invalid = [&](std::string detail) {
        return error{error_code::peer_message_invalid, std::string{place}, std::move(detail), {}};
    };
    const auto from = value.is_object() ? value.find("from") : value.end();
    const auto list = value.is_object() ? value.find("changes") : value.end();
    if (from == value.end() || list == value.end() || !from->is_number_unsigned() ||
        !list->is_array()) {
        return invalid("expected a delta with 'from' and 'changes'");
    }
    rules_delta delta;
    delta.from = from->get<rules_version>();
    for (const auto& item : *list) {
        BOOST_OUTCOME_TRY(change, change_from_json(item, place));
        delta.changes.push_back(std::move(change));
    }
    return delta;
}

} // namespace poplarstile::rules
