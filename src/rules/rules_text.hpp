#pragma once

#include "base/result.hpp"
#include "rules/ruleset.hpp"

#include <string>
#include <string_view>
#include <vector>

/// The rules file as text. docs/RULES.md holds the grammar.
namespace poplarstile::rules
{

/// Version of the grammar that this program reads and writes; `format N [version M]` names it in a
/// file, and the accepted version that the file was read from.
inline constexpr std::uint32_t grammar_version = 1;

/// Longest text that is read, in bytes.
inline constexpr std::size_t max_rules_bytes = std::size_t{4} * 1024 * 1024;

/// All faults of a rules text in the order of its lines; `place` of each is `file:line:column`.
struct rules_faults {
    std::vector<base::error> errors;
};

template <class Value>
using rules_result = BOOST_OUTCOME_V2_NAMESPACE::checked<Value, rules_faults>;

/// Reads a whole text: the grammar of each line, its comment, and the rules among each other.
/// The result's `version` is that of the `format` line, or 0. `file_name` only serves messages.
[[nodiscard]] rules_result<ruleset> parse_rules(std::string_view text,
                                                std::string_view file_name = "rules");

/// Reads one rule from its text and comment, as the store keeps them.
[[nodiscard]] base::result<rule_line> parse_rule(std::string_view text, std::string_view comment);

/// Writes rules so that `parse_rules` reads the same version, lines, comments and headings again.
[[nodiscard]] std::string to_text(const ruleset& rules);

} // namespace poplarstile::rules
