#pragma once

#include "rules/ruleset.hpp"

#include <string>

namespace poplarstile::rules
{

/// Names a rule over versions: its words without its values. Two rules of a ruleset never share it.
[[nodiscard]] std::string id_of(const rule_body& body);

/// What a rule is about: its kind and the workspace or class it starts with. Replacing a line by
/// another with the same subject is an edit of that line, also when the id changes.
[[nodiscard]] std::string subject_of(const rule_body& body);

} // namespace poplarstile::rules
