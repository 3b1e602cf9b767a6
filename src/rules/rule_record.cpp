#include "rules/rule_record.hpp"

#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace poplarstile::rules
{
namespace
{

using base::error;
using base::error_code;
using base::result;
using nlohmann::json;

error invalid(std::string_view place, std::string detail)
{
    return {error_code::platform_answer_invalid, std::string{place}, std::move(detail), {}};
}

error does_not_follow(const change_record& change, std::string detail)
{
    return {error_code::rules_base_unknown,
            fmt::format("version {}", change.version),
            std::move(detail),
            {}};
}

bool comes_first(const line_record& left, const line_record& right)
{
    return std::tie(left.order, left.id) < std::tie(right.order, right.id);
}

/// Runs a decoder and turns what the JSON library throws into an error.
template <class Decoder>
auto decode(std::string_view place, Decoder decoder) -> result<decltype(decoder())>
{
    try {
        return decoder();
    } catch (const json::exception& failure) {
        return invalid(place, failure.what());
    }
}

line_record decode_line(const json& value)
{
    line_record line;
    line.id = value.at("id").get<std::string>();
    line.text = value.at("text").get<std::string>();
    line.comment = value.at("comment").get<std::string>();
    line.heading = value.value("heading", std::string{});
    line.order = value.at("order").get<double>();
    line.version = value.at("version").get<rules_version>();
    line.author = value.at("author").get<std::string>();
    line.time_us = value.at("time_us").get<std::int64_t>();
    return line;
}

std::vector<line_record> decode_lines(const json& list)
{
    std::vector<line_record> lines;
    for (const auto& value : list) {
        lines.push_back(decode_line(value));
    }
    return lines;
}

json encode_lines(const std::vector<line_record>& lines)
{
    auto list = json::array();
    for (const auto& line : lines) {
        list.push_back(to_json(line));
    }
    return list;
}

using lines_by_id = std::map<std::string_view, const line_record*>;

lines_by_id index_of(const std::vector<line_record>& lines)
{
    lines_by_id index;
    for (const auto& line : lines) {
        index.emplace(line.id, &line);
    }
    return index;
}

std::vector<line_record> in_order(const lines_by_id& index)
{
    std::vector<line_record> lines;
    lines.reserve(index.size());
    for (const auto& [id, line] : index) {
        lines.push_back(*line);
    }
    std::ranges::sort(lines, comes_first);
    return lines;
}

/// Replaces `removed` by `added`; refused when a removed line differs or an added one is there.
result<std::vector<line_record>> replace_lines(const std::vector<line_record>& lines,
                                               const std::vector<line_record>& removed,
                                               const std::vector<line_record>& added,
                                               const change_record& change)
{
    auto index = index_of(lines);
    for (const auto& line : removed) {
        const auto found = index.find(line.id);
        if (found == index.end() || *found->second != line) {
            return does_not_follow(change,
                                   fmt::format("'{}' is not as the change saw it", line.id));
        }
        index.erase(found);
    }
    for (const auto& line : added) {
        if (!index.emplace(line.id, &line).second) {
            return does_not_follow(change, fmt::format("'{}' is there already", line.id));
        }
    }
    return in_order(index);
}

} // namespace

bool same_words(const line_record& left, const line_record& right)
{
    return left.text == right.text && left.comment == right.comment &&
           left.heading == right.heading;
}

const line_record* rules_state::find(std::string_view id) const
{
    const auto found = std::ranges::find(lines, id, &line_record::id);
    return found == lines.end() ? nullptr : &*found;
}

result<rules_state> apply_change(const rules_state& state, const change_record& change)
{
    if (change.version != state.version + 1) {
        return does_not_follow(change, fmt::format("the state has version {}", state.version));
    }
    if (change.ending && change.ending->before != state.ending) {
        return does_not_follow(change, "the closing comment is not as the change saw it");
    }
    BOOST_OUTCOME_TRY(lines, replace_lines(state.lines, change.removed, change.added, change));
    const auto& ending = change.ending ? change.ending->after : state.ending;
    return rules_state{change.version, std::move(lines), ending};
}

result<rules_state> undo_change(const rules_state& state, const change_record& change)
{
    if (change.version != state.version) {
        return does_not_follow(change, fmt::format("the state has version {}", state.version));
    }
    BOOST_OUTCOME_TRY(lines, replace_lines(state.lines, change.added, change.removed, change));
    const auto& ending = change.ending ? change.ending->before : state.ending;
    return rules_state{change.version - 1, std::move(lines), ending};
}

result<ruleset> to_ruleset(const rules_state& state)
{
    ruleset rules;
    rules.version = state.version;
    rules.ending = state.ending;
    for (const auto& record : state.lines) {
        BOOST_OUTCOME_TRY(line, parse_rule(record.text, record.comment));
        if (line.id != record.id) {
            return invalid(record.id, fmt::format("the line states '{}'", line.id));
        }
        line.heading = record.heading;
        line.line_number = rules.lines.size() + 1;
        rules.lines.push_back(std::move(line));
    }
    return rules;
}

json to_json(const line_record& line)
{
    json value = {{"id", line.id},          {"text", line.text},       {"comment", line.comment},
                  {"order", line.order},    {"version", line.version}, {"author", line.author},
                  {"time_us", line.time_us}};
    if (!line.heading.empty()) {
        value["heading"] = line.heading;
    }
    return value;
}

json to_json(const change_record& change)
{
    json value = {{"version", change.version},           {"author", change.author},
                  {"time_us", change.time_us},           {"operation", change.operation},
                  {"added", encode_lines(change.added)}, {"removed", encode_lines(change.removed)}};
    if (change.ending) {
        value["ending"] = {{"before", change.ending->before}, {"after", change.ending->after}};
    }
    return value;
}

json to_json(const rules_state& state)
{
    return {
        {"version", state.version}, {"lines", encode_lines(state.lines)}, {"ending", state.ending}};
}

result<line_record> line_from_json(const json& value, std::string_view place)
{
    return decode(place, [&] { return decode_line(value); });
}

result<change_record> change_from_json(const json& value, std::string_view place)
{
    return decode(place, [&] {
        change_record change;
        change.version = value.at("version").get<rules_version>();
        change.author = value.at("author").get<std::string>();
        change.time_us = value.at("time_us").get<std::int64_t>();
        change.operation = value.at("operation").get<std::string>();
        change.added = decode_lines(value.at("added"));
        change.removed = decode_lines(value.at("removed"));
        if (const auto ending = value.find("ending"); ending != value.end()) {
            change.ending = ending_change{ending->at("before").get<std::string>(),
                                          ending->at("after").get<std::string>()};
        }
        return change;
    });
}

result<rules_state> state_from_json(const json& value, std::string_view place)
{
    return decode(place, [&] {
        rules_state state;
        state.version = value.at("version").get<rules_version>();
        state.lines = decode_lines(value.at("lines"));
        state.ending = value.at("ending").get<std::string>();
        std::ranges::sort(state.lines, comes_first);
        return state;
    });
}

} // namespace poplarstile::rules
