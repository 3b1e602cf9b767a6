#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::poplarctl
{

/// Rows under headings, columns as wide as their widest cell.
struct text_table {
    std::vector<std::string> headings{};
    std::vector<std::vector<std::string>> rows{};
};

[[nodiscard]] std::string to_text(const text_table& table);

/// A table of the named members of each object in `list`; what is missing shows as `-`.
[[nodiscard]] text_table table_of(const nlohmann::json& list, std::vector<std::string> members);

/// A JSON value in a cell: texts without quotes.
[[nodiscard]] std::string cell_of(const nlohmann::json& object, std::string_view member);

} // namespace poplarstile::poplarctl
