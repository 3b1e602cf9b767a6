#include "rules/internal/line_parser.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace poplarstile::rules::internal
{
namespace
{

using base::error;
using base::error_code;
using base::result;

constexpr std::size_t longest_name = 64;
constexpr std::uint32_t most_shapes = 65'536;
constexpr std::uint32_t most_members = 16'384;
constexpr std::uint32_t most_accelerators_per_member = 1'024;
constexpr std::uint32_t most_accelerators = 16'777'216;
constexpr std::int64_t longest_time_ms = 86'400'000;
constexpr double greatest_weight = 1'000'000;
constexpr double greatest_rate = 1'000'000;

struct token {
    std::string_view text{};
    /// From 1.
    std::size_t column = 1;
};

bool is_blank(char letter)
{
    return letter == ' ' || letter == '\t';
}

std::vector<token> split(std::string_view text)
{
    std::vector<token> tokens;
    std::size_t at = 0;
    while (at < text.size()) {
        if (is_blank(text[at])) {
            ++at;
            continue;
        }
        const auto start = at;
        while (at < text.size() && !is_blank(text[at])) {
            ++at;
        }
        tokens.push_back({text.substr(start, at - start), start + 1});
    }
    return tokens;
}

bool is_name_character(char letter)
{
    const bool is_digit = letter >= '0' && letter <= '9';
    const bool is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    return is_digit || is_letter || letter == '.' || letter == '_' || letter == '-';
}

template <class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number number{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

/// Digits that are no number of this width are a number out of range, not a fault of grammar.
bool is_all_digits(std::string_view text)
{
    return !text.empty() &&
           std::ranges::all_of(text, [](char letter) { return letter >= '0' && letter <= '9'; });
}

/// Walks over the words of a line; each step names what the grammar expects there.
class word_reader
{
public:
    word_reader(std::string_view text, const line_place& place)
        : place_(place), tokens_(split(text)), end_column_(text.size() + 1)
    {
    }

    [[nodiscard]] bool at_end() const
    {
        return next_ == tokens_.size();
    }

    /// Takes the next word if it is `word`.
    bool take(std::string_view word)
    {
        if (at_end() || tokens_[next_].text != word) {
            return false;
        }
        ++next_;
        return true;
    }

    [[nodiscard]] error expected(std::string_view what) const
    {
        const auto found = at_end() ? std::string{"the end of the line"}
                                    : fmt::format("'{}'", tokens_[next_].text);
        return {error_code::rules_syntax, place_text(place_, column()),
                fmt::format("expected {}, found {}", what, found),
                fmt::format("write {} there", what)};
    }

    result<void> word(std::string_view wanted)
    {
        if (!take(wanted)) {
            return expected(fmt::format("'{}'", wanted));
        }
        return base::success();
    }

    result<void> end()
    {
        if (!at_end()) {
            return expected("the end of the line");
        }
        return base::success();
    }

    result<std::string> name(std::string_view what)
    {
        const bool is_name = !at_end() && tokens_[next_].text.size() <= longest_name &&
                             std::ranges::all_of(tokens_[next_].text, is_name_character);
        if (!is_name) {
            return expected(
                fmt::format("{} (up to {} letters, digits, '.', '_' and '-')", what, longest_name));
        }
        return std::string{tokens_[next_++].text};
    }

    result<std::uint32_t> count(std::string_view what, std::uint32_t greatest)
    {
        if (at_end() || !is_all_digits(tokens_[next_].text)) {
            return expected(what);
        }
        const auto& found = tokens_[next_++];
        return whole_number(found, found.text, 1, greatest);
    }

    result<double> decimal(std::string_view what, double greatest)
    {
        const auto number = at_end() ? std::nullopt : parse_number<double>(tokens_[next_].text);
        if (!number || std::isnan(*number)) {
            return expected(what);
        }
        const auto& found = tokens_[next_++];
        if (*number <= 0 || *number > greatest) {
            return out_of_range(found, fmt::format("more than 0 and at most {}", greatest));
        }
        return *number;
    }

    result<shape> gang_shape()
    {
        constexpr std::string_view what = "a shape such as 4x8 (members x accelerators)";
        if (at_end()) {
            return expected(what);
        }
        const auto& found = tokens_[next_];
        const auto cross = found.text.find('x');
        if (cross == std::string_view::npos || !is_all_digits(found.text.substr(0, cross)) ||
            !is_all_digits(found.text.substr(cross + 1))) {
            return expected(what);
        }
        ++next_;
        BOOST_OUTCOME_TRY(members,
                          whole_number(found, found.text.substr(0, cross), 1, most_members));
        BOOST_OUTCOME_TRY(accelerators, whole_number(found, found.text.substr(cross + 1), 1,
                                                     most_accelerators_per_member));
        return shape{members, accelerators};
    }

    result<base::milliseconds> time()
    {
        constexpr std::string_view what = "a time such as 1100ms or 2s";
        constexpr std::int64_t ms_per_second = 1'000;
        if (at_end()) {
            return expected(what);
        }
        const auto& found = tokens_[next_];
        const auto digits = found.text.substr(0, found.text.find_first_not_of("0123456789"));
        const auto unit = found.text.substr(digits.size());
        if (digits.empty() || (unit != "ms" && unit != "s")) {
            return expected(what);
        }
        ++next_;
        const auto factor = unit == "s" ? ms_per_second : std::int64_t{1};
        const auto number = parse_number<std::int64_t>(digits);
        if (!number || *number < 1 || *number > longest_time_ms / factor) {
            return out_of_range(found, fmt::format("1ms to {}ms", longest_time_ms));
        }
        return base::milliseconds{*number * factor};
    }

    /// Column of the next word, or of the line's end.
    [[nodiscard]] std::size_t column() const
    {
        return at_end() ? end_column_ : tokens_[next_].column;
    }

private:
    result<std::uint32_t> whole_number(const token& found, std::string_view digits,
                                       std::uint32_t least, std::uint32_t greatest)
    {
        const auto number = parse_number<std::uint32_t>(digits);
        if (!number || *number < least || *number > greatest) {
            return out_of_range(found, fmt::format("{} to {}", least, greatest));
        }
        return *number;
    }

    [[nodiscard]] error out_of_range(const token& found, std::string_view range) const
    {
        return {error_code::rules_out_of_range, place_text(place_, found.column),
                fmt::format("'{}' is outside {}", found.text, range), ""};
    }

    line_place place_;
    std::vector<token> tokens_;
    std::size_t end_column_;
    std::size_t next_ = 0;
};

result<rule_body> parse_guarantee(word_reader& words, std::string workspace)
{
    guarantee_rule rule;
    rule.workspace = std::move(workspace);
    BOOST_OUTCOME_TRY(count, words.count("a number of shapes", most_shapes));
    rule.count = count;
    BOOST_OUTCOME_TRY(words.word("of"));
    BOOST_OUTCOME_TRY(guaranteed, words.gang_shape());
    rule.guaranteed = guaranteed;
    BOOST_OUTCOME_TRY(words.word("in"));
    BOOST_OUTCOME_TRY(failure_domain, words.name("the name of a failure domain"));
    rule.failure_domain = std::move(failure_domain);
    return rule_body{std::move(rule)};
}

result<rule_body> parse_workspace(word_reader& words)
{
    BOOST_OUTCOME_TRY(name, words.name("the name of a workspace"));
    if (words.take("guarantee")) {
        return parse_guarantee(words, std::move(name));
    }
    if (words.take("share")) {
        BOOST_OUTCOME_TRY(weight, words.decimal("a weight", greatest_weight));
        return rule_body{share_rule{std::move(name), weight}};
    }
    if (words.take("quota")) {
        BOOST_OUTCOME_TRY(number, words.count("a number of accelerators", most_accelerators));
        BOOST_OUTCOME_TRY(words.word("accelerators"));
        return rule_body{quota_rule{std::move(name), number}};
    }
    return words.expected("'guarantee', 'share' or 'quota'");
}

/// Reads one option of a class; each may be given once.
result<void> parse_class_option(word_reader& words, class_rule& rule)
{
    const auto option = words;
    const auto repeated = [&] { return option.expected("each option once"); };
    if (words.take("not_idempotent")) {
        if (!rule.idempotent) {
            return repeated();
        }
        rule.idempotent = false;
        return base::success();
    }
    if (words.take("urgent")) {
        BOOST_OUTCOME_TRY(words.word("within"));
        if (rule.urgent_within) {
            return repeated();
        }
        BOOST_OUTCOME_TRY(urgent_within, words.time());
        rule.urgent_within = urgent_within;
        return base::success();
    }
    if (words.take("hedge")) {
        BOOST_OUTCOME_TRY(words.word("after"));
        if (rule.hedge_after) {
            return repeated();
        }
        BOOST_OUTCOME_TRY(hedge_after, words.time());
        rule.hedge_after = hedge_after;
        return base::success();
    }
    if (words.take("deadline")) {
        if (rule.deadline) {
            return repeated();
        }
        BOOST_OUTCOME_TRY(deadline, words.time());
        rule.deadline = deadline;
        return base::success();
    }
    return words.expected(
        "'before', 'not_idempotent', 'urgent within', 'hedge after' or 'deadline'");
}

result<rule_body> parse_class(word_reader& words)
{
    BOOST_OUTCOME_TRY(name, words.name("the name of a class"));
    if (words.take("before")) {
        BOOST_OUTCOME_TRY(other, words.name("the name of a class"));
        return rule_body{precedence_rule{std::move(name), std::move(other)}};
    }
    class_rule rule;
    rule.name = std::move(name);
    while (!words.at_end()) {
        BOOST_OUTCOME_TRY(parse_class_option(words, rule));
    }
    return rule_body{std::move(rule)};
}

result<rule_body> parse_limit(word_reader& words)
{
    BOOST_OUTCOME_TRY(words.word("workspace"));
    BOOST_OUTCOME_TRY(name, words.name("the name of a workspace"));
    BOOST_OUTCOME_TRY(rate, words.decimal("a number of requests", greatest_rate));
    BOOST_OUTCOME_TRY(words.word("requests/s"));
    return rule_body{rate_limit_rule{std::move(name), rate}};
}

result<rule_body> parse_avoid(word_reader& words)
{
    BOOST_OUTCOME_TRY(words.word("worker"));
    BOOST_OUTCOME_TRY(name, words.name("the name of a worker"));
    return rule_body{avoid_rule{std::move(name)}};
}

result<rule_body> parse_body(word_reader& words)
{
    if (words.take("workspace")) {
        return parse_workspace(words);
    }
    if (words.take("class")) {
        return parse_class(words);
    }
    if (words.take("limit")) {
        return parse_limit(words);
    }
    if (words.take("avoid")) {
        return parse_avoid(words);
    }
    return words.expected("'workspace', 'class', 'limit' or 'avoid'");
}

} // namespace

std::string place_text(const line_place& place, std::size_t column)
{
    return fmt::format("{}:{}:{}", place.file_name, place.line_number, column);
}

result<rule_body> parse_line(std::string_view text, const line_place& place)
{
    word_reader words{text, place};
    BOOST_OUTCOME_TRY(body, parse_body(words));
    BOOST_OUTCOME_TRY(words.end());
    return body;
}

result<format_line> parse_format(std::string_view text, const line_place& place)
{
    constexpr auto greatest = std::numeric_limits<std::uint32_t>::max();
    word_reader words{text, place};
    format_line format;
    BOOST_OUTCOME_TRY(words.word("format"));
    BOOST_OUTCOME_TRY(grammar, words.count("the version of the grammar", greatest));
    format.grammar = grammar;
    if (words.take("version")) {
        BOOST_OUTCOME_TRY(version, words.count("the version of the rules", greatest));
        format.version = version;
    }
    BOOST_OUTCOME_TRY(words.end());
    return format;
}

bool is_format_line(std::string_view text)
{
    word_reader words{text, {}};
    return words.take("format");
}

} // namespace poplarstile::rules::internal
