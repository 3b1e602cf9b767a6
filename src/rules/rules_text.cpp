#include "rules/rules_text.hpp"

#include "rules/internal/line_parser.hpp"
#include "rules/internal/utf8.hpp"
#include "rules/rule_id.hpp"
#include "rules/rules_check.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::rules
{
namespace
{

using base::error;
using base::error_code;
using internal::line_place;

constexpr std::string_view blanks = " \t\r";
constexpr std::string_view asker_mark = "asked by:";

std::string_view trim_end(std::string_view text)
{
    const auto last = text.find_last_not_of(blanks);
    return last == std::string_view::npos ? std::string_view{} : text.substr(0, last + 1);
}

std::string_view trim(std::string_view text)
{
    text = trim_end(text);
    const auto first = text.find_first_not_of(blanks);
    return first == std::string_view::npos ? std::string_view{} : text.substr(first);
}

/// The words after `#`; one blank between them and the mark is not part of the words.
std::string_view comment_words(std::string_view after_mark)
{
    after_mark = trim_end(after_mark);
    return after_mark.starts_with(' ') ? after_mark.substr(1) : after_mark;
}

/// True when the comment says who asked: some word follows `asked by:`.
bool names_asker(std::string_view comment)
{
    const auto mark = comment.find(asker_mark);
    if (mark == std::string_view::npos) {
        return false;
    }
    auto rest = comment.substr(mark + asker_mark.size());
    rest = rest.substr(0, rest.find('\n'));
    return !trim(rest).empty();
}

error comment_missing(const line_place& place, std::string_view text, std::string_view comment)
{
    const std::string_view detail = comment.empty()
                                        ? "the rule has no comment"
                                        : "the comment does not say 'asked by:' and a name";
    return {error_code::rules_comment_missing,
            internal::place_text(place, text.size() + 1),
            std::string{detail},
            {}};
}

/// Lines joined by line feeds.
class line_block
{
public:
    void add(std::string_view line)
    {
        if (has_lines_) {
            text_ += '\n';
        }
        text_ += line;
        has_lines_ = true;
    }

    [[nodiscard]] bool empty() const
    {
        return !has_lines_;
    }

    std::string take()
    {
        has_lines_ = false;
        return std::exchange(text_, {});
    }

private:
    std::string text_;
    bool has_lines_ = false;
};

/// Reads a text line by line and keeps the comments until their rule comes.
class text_reader
{
public:
    explicit text_reader(std::string_view file_name) : place_{file_name, 0} {}

    void read_line(std::string_view line)
    {
        ++place_.line_number;
        if (const auto fault = internal::find_bad_byte(line)) {
            add_syntax(*fault + 1, "expected UTF-8 text without control characters");
            return;
        }
        const auto mark = line.find('#');
        const auto text = trim_end(line.substr(0, mark));
        if (!trim(text).empty()) {
            read_rule(text,
                      mark == std::string_view::npos ? std::string_view{} : line.substr(mark + 1));
        } else if (mark != std::string_view::npos) {
            read_comment(line, mark);
        } else {
            end_block();
        }
    }

    rules_result<ruleset> finish(std::string_view file_name) &&
    {
        end_block();
        rules_.ending = heading_.take();
        if (faults_.empty()) {
            faults_ = check_rules(rules_, file_name);
        }
        if (!faults_.empty()) {
            return rules_faults{std::move(faults_)};
        }
        return std::move(rules_);
    }

private:
    void add_syntax(std::size_t column, std::string detail)
    {
        faults_.push_back({error_code::rules_syntax,
                           internal::place_text(place_, column),
                           std::move(detail),
                           {}});
    }

    void read_comment(std::string_view line, std::size_t mark)
    {
        above_.add(comment_words(line.substr(mark + 1)));
        raw_above_.add(trim(line));
    }

    /// A blank line parts the comments before it from the next rule.
    void end_block()
    {
        if (above_.empty()) {
            return;
        }
        if (!heading_.empty()) {
            heading_.add("");
        }
        heading_.add(raw_above_.take());
        above_.take();
    }

    void read_rule(std::string_view text, std::string_view after_mark)
    {
        if (internal::is_format_line(text)) {
            read_format(text, after_mark);
            return;
        }
        auto body = internal::parse_line(text, place_);
        const auto comment = take_comment(after_mark);
        auto heading = heading_.take();
        if (body.has_error()) {
            faults_.push_back(body.error());
        }
        if (!names_asker(comment)) {
            faults_.push_back(comment_missing(place_, text, comment));
        }
        has_rules_ = true;
        if (body.has_value()) {
            add_line(std::move(body.value()), text, comment, std::move(heading));
        }
    }

    void add_line(rule_body body, std::string_view text, const std::string& comment,
                  std::string heading)
    {
        rule_line line;
        line.id = id_of(body);
        line.text = trim(text);
        line.comment = comment;
        line.heading = std::move(heading);
        line.body = std::move(body);
        line.line_number = place_.line_number;
        rules_.lines.push_back(std::move(line));
    }

    std::string take_comment(std::string_view after_mark)
    {
        raw_above_.take();
        const auto words = comment_words(after_mark);
        if (!words.empty()) {
            above_.add(words);
        }
        return above_.take();
    }

    void read_format(std::string_view text, std::string_view after_mark)
    {
        const auto format = internal::parse_format(text, place_);
        if (!trim(after_mark).empty()) {
            above_.add(comment_words(after_mark));
            raw_above_.add(fmt::format("#{}", trim_end(after_mark)));
        }
        end_block();
        if (format.has_error()) {
            faults_.push_back(format.error());
        } else if (has_rules_ || has_format_) {
            add_syntax(1, "expected 'format' once, before the first rule");
        } else if (format.value().grammar != grammar_version) {
            add_syntax(1, fmt::format("expected format {}, found {}", grammar_version,
                                      format.value().grammar));
        } else {
            rules_.version = format.value().version;
        }
        has_format_ = true;
    }

    line_place place_;
    ruleset rules_;
    std::vector<error> faults_;
    /// Comment lines right above the next rule: their words, and as written.
    line_block above_;
    line_block raw_above_;
    line_block heading_;
    bool has_rules_ = false;
    bool has_format_ = false;
};

void write_comment_above(std::string& text, std::string_view comment)
{
    std::size_t start = 0;
    while (start <= comment.size()) {
        const auto end = std::min(comment.find('\n', start), comment.size());
        const auto words = comment.substr(start, end - start);
        text += words.empty() ? "#\n" : fmt::format("# {}\n", words);
        start = end + 1;
    }
}

void write_line(std::string& text, const rule_line& line)
{
    if (!line.heading.empty()) {
        text += fmt::format("\n{}\n\n", line.heading);
    }
    if (line.comment.find('\n') == std::string::npos) {
        text += fmt::format("{}    # {}\n", line.text, line.comment);
        return;
    }
    write_comment_above(text, line.comment);
    text += line.text + '\n';
}

} // namespace

rules_result<ruleset> parse_rules(std::string_view text, std::string_view file_name)
{
    if (text.size() > max_rules_bytes) {
        return rules_faults{
            {error{error_code::rules_unreadable, std::string{file_name},
                   fmt::format("{} bytes, expected at most {}", text.size(), max_rules_bytes),
                   "remove rules that are no longer asked for"}}};
    }
    text_reader reader{file_name};
    std::size_t start = 0;
    while (start < text.size()) {
        const auto end = std::min(text.find('\n', start), text.size());
        reader.read_line(text.substr(start, end - start));
        start = end + 1;
    }
    return std::move(reader).finish(file_name);
}

base::result<rule_line> parse_rule(std::string_view text, std::string_view comment)
{
    const line_place place{"stored", 1};
    BOOST_OUTCOME_TRY(body, internal::parse_line(text, place));
    if (!names_asker(comment)) {
        return comment_missing(place, text, comment);
    }
    rule_line line;
    line.id = id_of(body);
    line.text = text;
    line.comment = comment;
    line.body = std::move(body);
    return line;
}

std::string to_text(const ruleset& rules)
{
    auto text = fmt::format("format {} version {}\n", grammar_version, rules.version);
    if (rules.version == 0) {
        text = fmt::format("format {}\n", grammar_version);
    }
    for (const auto& line : rules.lines) {
        write_line(text, line);
    }
    if (!rules.ending.empty()) {
        text += fmt::format("\n{}\n", rules.ending);
    }
    return text;
}

} // namespace poplarstile::rules
