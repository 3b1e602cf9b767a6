#pragma once

#include "rules/ruleset.hpp"

#include <string>
#include <variant>
#include <vector>

namespace poplarstile::rules
{

struct line_added {
    rule_line line{};
};
struct line_removed {
    rule_line line{};
};
/// The rule or only its comment changed.
struct line_edited {
    rule_line before{};
    rule_line after{};
};

using rule_change = std::variant<line_added, line_removed, line_edited>;

/// Changes from `before` to `after`: first what `before` had, in its order, then what is new.
/// Moving a line is no change, because the order of lines has no meaning.
[[nodiscard]] std::vector<rule_change> diff(const ruleset& before, const ruleset& after);

/// Lines marked `-` and `+`, with their comments, for people.
[[nodiscard]] std::string to_text(const std::vector<rule_change>& changes);

} // namespace poplarstile::rules
