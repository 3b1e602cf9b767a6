#include "rules/rules_diff.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace poplarstile::rules
{
namespace
{

using line_index = std::map<std::string_view, const rule_line*>;

line_index index_of(const ruleset& rules)
{
    line_index index;
    for (const auto& line : rules.lines) {
        index.emplace(line.id, &line);
    }
    return index;
}

bool same_words(const rule_line& left, const rule_line& right)
{
    return left.text == right.text && left.comment == right.comment &&
           left.heading == right.heading;
}

std::string marked(char mark, const rule_line& line)
{
    auto comment = line.comment;
    std::ranges::replace(comment, '\n', ' ');
    return fmt::format("{} {}    # {}\n", mark, line.text, comment);
}

struct change_writer {
    std::string operator()(const line_added& change) const
    {
        return marked('+', change.line);
    }
    std::string operator()(const line_removed& change) const
    {
        return marked('-', change.line);
    }
    std::string operator()(const line_edited& change) const
    {
        return marked('-', change.before) + marked('+', change.after);
    }
};

} // namespace

std::vector<rule_change> diff(const ruleset& before, const ruleset& after)
{
    std::vector<rule_change> changes;
    const auto new_lines = index_of(after);
    for (const auto& line : before.lines) {
        const auto found = new_lines.find(line.id);
        if (found == new_lines.end()) {
            changes.emplace_back(line_removed{line});
        } else if (!same_words(line, *found->second)) {
            changes.emplace_back(line_edited{line, *found->second});
        }
    }
    const auto old_lines = index_of(before);
    for (const auto& line : after.lines) {
        if (!old_lines.contains(line.id)) {
            changes.emplace_back(line_added{line});
        }
    }
    return changes;
}

std::string to_text(const std::vector<rule_change>& changes)
{
    std::string text;
    for (const auto& change : changes) {
        text += std::visit(change_writer{}, change);
    }
    return text;
}

} // namespace poplarstile::rules
