#include "rules/rule_store.hpp"

#include "rules/internal/rule_merge.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::rules
{
namespace
{

using base::error;
using base::error_code;
using base::result;
using nlohmann::json;
using table::table_row;

error changed_meanwhile()
{
    return {error_code::platform_conflict,
            std::string{head_key},
            "the rules changed while they were read",
            {}};
}

result<void> read_head(const table_row& row, stored_rules& stored)
{
    try {
        stored.state.version = row.value.at("version").get<rules_version>();
        stored.state.ending = row.value.at("ending").get<std::string>();
    } catch (const json::exception& failure) {
        return error{error_code::platform_answer_invalid, row.key, failure.what(), {}};
    }
    stored.head_row = row.version;
    return base::success();
}

result<void> read_row(const table_row& row, rules_version log_after, stored_rules& stored)
{
    const std::string_view key = row.key;
    if (key == head_key) {
        return read_head(row, stored);
    }
    if (key.starts_with(line_prefix)) {
        BOOST_OUTCOME_TRY(line, line_from_json(row.value, key));
        stored.state.lines.push_back(std::move(line));
    } else if (key.starts_with(log_prefix)) {
        BOOST_OUTCOME_TRY(change, change_from_json(row.value, key));
        if (change.version > log_after) {
            stored.changes.push_back(std::move(change));
        }
    }
    return base::success();
}

/// The log has to lead from `log_after` to the head without a gap.
result<void> check_log(const stored_rules& stored)
{
    auto expected = stored.log_after;
    for (const auto& change : stored.changes) {
        ++expected;
        if (change.version != expected) {
            return error{error_code::platform_answer_invalid, log_key(expected),
                         "the log has a gap", "read the log from a later version"};
        }
    }
    if (expected > stored.state.version) {
        return changed_meanwhile();
    }
    if (expected < stored.state.version) {
        return error{error_code::platform_answer_invalid,
                     log_key(expected + 1),
                     "the log ends before the head",
                     {}};
    }
    return base::success();
}

std::span<const change_record> changes_after(const stored_rules& stored, rules_version version)
{
    return std::span{stored.changes}.subspan(version - stored.log_after);
}

/// The proposal's lines as records; only their words are set.
rules_state words_of(const ruleset& rules)
{
    rules_state state;
    state.ending = rules.ending;
    for (const auto& line : rules.lines) {
        line_record record;
        record.id = line.id;
        record.text = line.text;
        record.comment = line.comment;
        record.heading = line.heading;
        state.lines.push_back(std::move(record));
    }
    return state;
}

const change_record* find_operation(const stored_rules& stored, std::string_view operation)
{
    const auto found = std::ranges::find(stored.changes, operation, &change_record::operation);
    return found == stored.changes.end() ? nullptr : &*found;
}

/// The last change to a line, to name its author.
const change_record* last_change_of(const stored_rules& stored, std::string_view id)
{
    const auto touches = [&](const line_record& line) { return line.id == id; };
    for (auto change = stored.changes.rbegin(); change != stored.changes.rend(); ++change) {
        const bool is_ending = id == internal::ending_id && change->ending.has_value();
        if (is_ending || std::ranges::any_of(change->added, touches) ||
            std::ranges::any_of(change->removed, touches)) {
            return &*change;
        }
    }
    return nullptr;
}

apply_conflicts describe_conflicts(const stored_rules& stored,
                                   std::vector<internal::merge_conflict> found)
{
    apply_conflicts described;
    for (auto& conflict : found) {
        line_conflict line{
            std::move(conflict.id), std::move(conflict.yours), std::move(conflict.theirs), {}, 0};
        if (const auto* change = last_change_of(stored, line.id)) {
            line.author = change->author;
            line.version = change->version;
        }
        described.conflicts.push_back(std::move(line));
    }
    return described;
}

/// Lines of `from` that `to` does not have in exactly this form.
std::vector<line_record> lines_only_in(const rules_state& from, const rules_state& to)
{
    std::vector<line_record> lines;
    for (const auto& line : from.lines) {
        const auto* other = to.find(line.id);
        if (other == nullptr || *other != line) {
            lines.push_back(line);
        }
    }
    return lines;
}

change_record change_between(const rules_state& before, const rules_state& after,
                             const rules_proposal& proposal)
{
    change_record change;
    change.version = after.version;
    change.author = proposal.author;
    change.time_us = proposal.time_us;
    change.operation = proposal.operation;
    change.added = lines_only_in(after, before);
    change.removed = lines_only_in(before, after);
    if (before.ending != after.ending) {
        change.ending = ending_change{before.ending, after.ending};
    }
    return change;
}

table::table_transaction transaction_of(const change_record& change, const rules_state& after,
                                        table::row_version head_row)
{
    table::table_transaction transaction;
    transaction.operation = change.operation;
    transaction.conditions = {{std::string{head_key}, head_row}, {log_key(change.version), 0}};
    transaction.writes.push_back(
        {std::string{head_key},
         {{"version", change.version}, {"operation", change.operation}, {"ending", after.ending}}});
    transaction.writes.push_back({log_key(change.version), to_json(change)});
    for (const auto& line : change.removed) {
        if (after.find(line.id) == nullptr) {
            transaction.writes.push_back({line_key(line.id), nullptr});
        }
    }
    for (const auto& line : change.added) {
        transaction.writes.push_back({line_key(line.id), to_json(line)});
    }
    return transaction;
}

/// Reads the merged state as a whole file, so that everything that a file is checked for holds.
std::vector<error> check_merged(const rules_state& state, const guarantee_check& check_guarantees)
{
    auto rules = to_ruleset(state);
    if (rules.has_error()) {
        return {rules.error()};
    }
    auto parsed = parse_rules(to_text(rules.value()), "merged");
    if (parsed.has_error()) {
        return std::move(parsed.error().errors);
    }
    return check_rules(parsed.value(), "merged", check_guarantees);
}

/// Removes the oldest log rows past `max_log_rows`. The lines themselves are the snapshot that
/// stands for them.
void compact_log(const stored_rules& stored, table::table_transaction& transaction)
{
    const auto kept = stored.changes.size() + 1;
    const auto surplus = kept > max_log_rows ? kept - max_log_rows : 0;
    const auto removed = std::min(surplus, max_compacted_rows);
    for (std::size_t number = 0; number < removed; ++number) {
        transaction.writes.push_back({log_key(stored.changes[number].version), nullptr});
    }
}

apply_plan plan_merged(const stored_rules& stored, const rules_proposal& proposal,
                       rules_state merged, const guarantee_check& check_guarantees)
{
    merged.version = stored.state.version + 1;
    auto change = change_between(stored.state, merged, proposal);
    if (change.added.empty() && change.removed.empty() && !change.ending) {
        return already_in_force{stored.state.version};
    }
    if (auto faults = check_merged(merged, check_guarantees); !faults.empty()) {
        return apply_refused{std::move(faults)};
    }
    auto transaction = transaction_of(change, merged, stored.head_row);
    compact_log(stored, transaction);
    return planned_change{std::move(transaction), std::move(change), std::move(merged),
                          stored.head_row};
}

error unknown_version(rules_version version, const stored_rules& stored)
{
    return {error_code::rules_base_unknown,
            fmt::format("version {}", version),
            fmt::format("versions {} to {} are known", stored.log_after, stored.state.version),
            {}};
}

} // namespace

std::string line_key(std::string_view id)
{
    return fmt::format("{}{}", line_prefix, id);
}

std::string log_key(rules_version version)
{
    return fmt::format("{}{:020}", log_prefix, version);
}

result<stored_rules> read_rules(std::span<const table_row> rows, rules_version log_after)
{
    stored_rules stored;
    stored.log_after = log_after;
    for (const auto& row : rows) {
        BOOST_OUTCOME_TRY(read_row(row, log_after, stored));
    }
    std::ranges::sort(stored.changes, {}, &change_record::version);
    std::ranges::sort(stored.state.lines, [](const line_record& left, const line_record& right) {
        return std::tie(left.order, left.id) < std::tie(right.order, right.id);
    });
    BOOST_OUTCOME_TRY(check_log(stored));
    return stored;
}

rules_version log_start(std::span<const table_row> rows)
{
    const auto oldest = std::ranges::find_if(
        rows, [](const table_row& row) { return row.key.starts_with(log_prefix); });
    if (oldest == rows.end() || !oldest->value.is_object()) {
        return 0;
    }
    const auto version = oldest->value.value("version", rules_version{0});
    return version == 0 ? 0 : version - 1;
}

result<rules_state> state_at(const stored_rules& stored, rules_version version)
{
    if (version < stored.log_after || version > stored.state.version) {
        return unknown_version(version, stored);
    }
    auto state = stored.state;
    for (auto change = stored.changes.rbegin(); change != stored.changes.rend(); ++change) {
        if (change->version <= version) {
            break;
        }
        BOOST_OUTCOME_TRY(earlier, undo_change(state, *change));
        state = std::move(earlier);
    }
    return state;
}

apply_plan plan_apply(const stored_rules& stored, const rules_proposal& proposal,
                      const guarantee_check& check_guarantees)
{
    if (const auto* applied = find_operation(stored, proposal.operation)) {
        return already_in_force{applied->version};
    }
    const auto base = state_at(stored, proposal.base_version);
    if (base.has_error()) {
        return apply_refused{{base.error()}};
    }
    line_record stamp;
    stamp.version = stored.state.version + 1;
    stamp.author = proposal.author;
    stamp.time_us = proposal.time_us;
    const auto yours = words_of(proposal.rules);
    auto merged = internal::merge(
        {&base.value(), &yours, &stored.state, changes_after(stored, proposal.base_version)},
        stamp);
    if (auto* conflicts = std::get_if<std::vector<internal::merge_conflict>>(&merged)) {
        return describe_conflicts(stored, std::move(*conflicts));
    }
    return plan_merged(stored, proposal, std::get<rules_state>(std::move(merged)),
                       check_guarantees);
}

settlement settle(const stored_rules& stored, std::string_view operation,
                  table::row_version head_row)
{
    if (const auto* applied = find_operation(stored, operation)) {
        return settled_applied{applied->version};
    }
    if (stored.head_row == head_row) {
        return settled_undecided{};
    }
    return settled_not_applied{};
}

} // namespace poplarstile::rules
