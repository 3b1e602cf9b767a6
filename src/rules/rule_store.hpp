#pragma once

#include "rules/rule_record.hpp"
#include "rules/rules_check.hpp"
#include "table/table.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Rules in the platform's table, and changes to them as conditional transactions. Pure: the caller
/// reads rows and sends transactions.
///
/// Rows: `rules/head` {version, operation, ending}, `rules/line/<id>` {a `line_record`},
/// `rules/log/<20-digit version>` {a `change_record`}. Every change writes the head under the
/// condition that it is unchanged, so changes form one sequence. A transaction with a lost answer
/// is settled by its operation in the log.
namespace poplarstile::rules
{

inline constexpr std::string_view rules_prefix = "rules/";
inline constexpr std::string_view head_key = "rules/head";
inline constexpr std::string_view line_prefix = "rules/line/";
inline constexpr std::string_view log_prefix = "rules/log/";

[[nodiscard]] std::string line_key(std::string_view id);

/// Keys of the log sort by version.
[[nodiscard]] std::string log_key(rules_version version);

/// The rows decoded.
struct stored_rules {
    rules_state state{};
    /// Table version of `rules/head`; 0 when there are no rules yet.
    table::row_version head_row = 0;
    /// The log after this version was read.
    rules_version log_after = 0;
    /// Changes from `log_after` + 1 to the state's version.
    std::vector<change_record> changes{};
};

/// Decodes rows. `rows` holds the head, all lines and the log after `log_after`. A scan of several
/// pages is sound when it reads in key order and the log to its end: a change made in between then
/// shows as a log entry after the head, and `platform_conflict` asks to read again.
[[nodiscard]] base::result<stored_rules> read_rules(std::span<const table::table_row> rows,
                                                    rules_version log_after = 0);

/// Longest log that `plan_apply` leaves in the table; older changes go in the same transaction.
inline constexpr std::size_t max_log_rows = 256;

/// Old log rows that one change removes at most, so that transactions stay small.
inline constexpr std::size_t max_compacted_rows = 16;

/// The version before the oldest change that the rows still hold, to be passed to `read_rules`.
[[nodiscard]] rules_version log_start(std::span<const table::table_row> rows);

/// The state at an earlier version, by undoing the changes after it. `rules_base_unknown` when the
/// log does not reach back that far.
[[nodiscard]] base::result<rules_state> state_at(const stored_rules& stored, rules_version version);

/// What an operator wants in force.
struct rules_proposal {
    std::string author{};
    /// The version that the operator's text was made from.
    rules_version base_version = 0;
    ruleset rules{};
    /// Names the operator's wish over all attempts to write it; new for each wish.
    std::string operation{};
    std::int64_t time_us = 0;
};

/// To be sent; what it leads to is in force once the table says so.
struct planned_change {
    table::table_transaction transaction{};
    change_record change{};
    rules_state state{};
    /// Row version of the head that the transaction builds on.
    table::row_version head_row = 0;
};

/// The wish is in force already, by this operation or because its words are.
struct already_in_force {
    rules_version version = 0;
};

/// One line that someone else changed after the base version.
struct line_conflict {
    std::string id{};
    /// Nothing when that side removed the line.
    std::optional<line_record> yours{};
    std::optional<line_record> theirs{};
    /// Who made the other change.
    std::string author{};
    rules_version version = 0;
};

struct apply_conflicts {
    std::vector<line_conflict> conflicts{};
};

/// Rules that can't hold together once merged, or a base version that the log does not reach.
struct apply_refused {
    std::vector<base::error> errors{};
};

using apply_plan = std::variant<planned_change, already_in_force, apply_conflicts, apply_refused>;

/// Merges the operator's changes since the base version into what is stored. Lines that nobody else
/// changed merge by themselves. Planning the same proposal again after a lost answer is safe: it
/// gives `already_in_force` when the first attempt took effect, and otherwise a transaction of
/// which, together with the first, at most one can commit.
[[nodiscard]] apply_plan plan_apply(const stored_rules& stored, const rules_proposal& proposal,
                                    const guarantee_check& check_guarantees = {});

struct settled_applied {
    rules_version version = 0;
};
/// The transaction did not and can't take effect any more.
struct settled_not_applied {
};
/// The transaction has not taken effect yet and still may.
struct settled_undecided {
};
using settlement = std::variant<settled_applied, settled_not_applied, settled_undecided>;

/// Tells from rows read after a transaction whether it took effect. `head_row` is that of its plan;
/// the log must have been read from the plan's version or earlier.
[[nodiscard]] settlement settle(const stored_rules& stored, std::string_view operation,
                                table::row_version head_row);

} // namespace poplarstile::rules
