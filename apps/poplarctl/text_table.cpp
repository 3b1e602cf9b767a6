#include "poplarctl/text_table.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::poplarctl
{
namespace
{

std::string line_of(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths)
{
    std::string line;
    for (std::size_t column = 0; column < cells.size(); ++column) {
        line += fmt::format("{:<{}}  ", cells[column], widths[column]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    return line + '\n';
}

} // namespace

std::string to_text(const text_table& table)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < table.headings.size(); ++column) {
        auto width = table.headings[column].size();
        for (const auto& row : table.rows) {
            width = std::max(width, row.at(column).size());
        }
        widths.push_back(width);
    }
    auto text = line_of(table.headings, widths);
    for (const auto& row : table.rows) {
        text += line_of(row, widths);
    }
    return text;
}

std::string cell_of(const nlohmann::json& object, std::string_view member)
{
    const auto found = object.is_object() ? object.find(member) : object.end();
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

text_table table_of(const nlohmann::json& list, std::vector<std::string> members)
{
    text_table table;
    for (const auto& object : list) {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const auto& member : members) {
            row.push_back(cell_of(object, member));
        }
        table.rows.push_back(std::move(row));
    }
    table.headings = std::move(members);
    return table;
}

} // namespace poplarstile::poplarctl
