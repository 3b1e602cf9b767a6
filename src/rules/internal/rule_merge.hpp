#pragma once

#include "rules/rule_record.hpp"

#include <span>
#include <variant>

/// Three-way merge of rules by line.
namespace poplarstile::rules::internal
{

/// A line that both sides changed since the base, as each has it now; nothing for a removed line.
struct merge_conflict {
    std::string id{};
    std::optional<line_record> yours{};
    std::optional<line_record> theirs{};
};

/// Either the merged state (with the version of `theirs`) or every conflict.
using merge_outcome = std::variant<rules_state, std::vector<merge_conflict>>;

/// Id under which a conflict of closing comments is reported; no rule has it.
inline constexpr std::string_view ending_id = "end of file";

/// The states to merge.
struct merge_input {
    const rules_state* base = nullptr;
    /// Lines only need their words.
    const rules_state* yours = nullptr;
    const rules_state* theirs = nullptr;
    /// Changes that lead from `base` to `theirs`. A line that one of them touched counts as changed
    /// even when it ended with the words that it began with: you did not see that it was settled.
    std::span<const change_record> their_changes{};
};

/// Applies what `yours` changed since `base` to `theirs`. A line keeps its place and author as long
/// as its words stay; `stamp` gives version, author and time of the others.
[[nodiscard]] merge_outcome merge(const merge_input& input, const line_record& stamp);

} // namespace poplarstile::rules::internal
