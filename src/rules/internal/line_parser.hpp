#pragma once

#include "base/result.hpp"
#include "rules/ruleset.hpp"

#include <cstddef>
#include <string_view>

namespace poplarstile::rules::internal
{

/// Where a line stands, for messages.
struct line_place {
    std::string_view file_name = "rules";
    std::size_t line_number = 1;
};

/// `file:line:column`; the column counts bytes from 1.
[[nodiscard]] std::string place_text(const line_place& place, std::size_t column);

/// Reads the rule of one line that has no comment any more.
[[nodiscard]] base::result<rule_body> parse_line(std::string_view text, const line_place& place);

/// The `format` line: which grammar, and which accepted version the file was read from.
struct format_line {
    std::uint32_t grammar = 0;
    rules_version version = 0;
};

/// Reads `format N` or `format N version M`.
[[nodiscard]] base::result<format_line> parse_format(std::string_view text,
                                                     const line_place& place);

/// True when the first word of the line is `format`.
[[nodiscard]] bool is_format_line(std::string_view text);

} // namespace poplarstile::rules::internal
