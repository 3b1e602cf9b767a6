#pragma once

#include "base/result.hpp"
#include "rules/ruleset.hpp"

#include <functional>
#include <string_view>
#include <vector>

namespace poplarstile::rules
{

/// Tells which guarantees can't all be met at once on the hardware; empty when they can.
/// The hardware is not known here, so the caller brings the check.
using guarantee_check = std::function<std::vector<base::error>(const ruleset&)>;

/// Checks rules against each other: duplicates, classes that no line declares, cycles of
/// precedence, guarantees above the workspace's quota, options of a class that can't both hold.
[[nodiscard]] std::vector<base::error> check_rules(const ruleset& rules,
                                                   std::string_view file_name = "rules");

/// `check_rules` and then, when that finds nothing, the guarantees on the hardware.
[[nodiscard]] std::vector<base::error> check_rules(const ruleset& rules, std::string_view file_name,
                                                   const guarantee_check& check_guarantees);

} // namespace poplarstile::rules
