#include "rules/rules_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace poplarstile::rules
{
namespace
{

using base::error_code;

constexpr std::string_view sample = R"(# Rules of the kit shops.
# Kept by the owner.

workspace kit-shops guarantee 2 of 4x8 in centro    # asked by: owner, contract 2026-11
class print_sheet not_idempotent      # asked by: kit makers: duplicates are mailed at their cost
class preview urgent within 1100ms hedge after 2s  # asked by: shops: a late one loses the sale

# The June flood filled all queues.
#
# asked by: owner
limit workspace kit-shops 400 requests/s
class print_sheet before preview # asked by: Cámara Oscura
avoid worker w-017   # asked by: on-call, fails everything since Tuesday
# Nothing below.
)";

std::vector<base::error> faults_of(std::string_view text)
{
    const auto parsed = parse_rules(text, "f");
    return parsed.has_error() ? parsed.error().errors : std::vector<base::error>{};
}

TEST(parse_rules, reads_each_kind_with_its_comment)
{
    const auto parsed = parse_rules(sample);

    ASSERT_TRUE(parsed.has_value()) << base::describe(parsed.error().errors.front());
    const auto& lines = parsed.value().lines;
    ASSERT_EQ(lines.size(), 6U);
    const auto& guarantee = std::get<guarantee_rule>(lines[0].body);
    EXPECT_EQ(guarantee.count, 2U);
    EXPECT_EQ(guarantee.guaranteed, (shape{4, 8}));
    EXPECT_EQ(lines[0].heading, "# Rules of the kit shops.\n# Kept by the owner.");
    EXPECT_EQ(lines[1].id, "class print_sheet");
    EXPECT_EQ(lines[3].comment, "The June flood filled all queues.\n\nasked by: owner");
    EXPECT_EQ(lines[3].line_number, 11U);
    EXPECT_EQ(parsed.value().ending, "# Nothing below.");
}

TEST(to_text, keeps_rules_and_comments_word_for_word)
{
    const auto first = parse_rules(sample);
    ASSERT_TRUE(first.has_value());

    const auto second = parse_rules(to_text(first.value()));

    ASSERT_TRUE(second.has_value()) << base::describe(second.error().errors.front());
    EXPECT_EQ(to_text(second.value()), to_text(first.value()));
    for (std::size_t index = 0; index < first.value().lines.size(); ++index) {
        EXPECT_EQ(second.value().lines[index].text, first.value().lines[index].text);
        EXPECT_EQ(second.value().lines[index].comment, first.value().lines[index].comment);
        EXPECT_EQ(second.value().lines[index].heading, first.value().lines[index].heading);
    }
}

struct bad_text {
    std::string name;
    std::string text;
    error_code code;
    std::string place;
    std::string detail;
};

class parse_rules_refuses : public testing::TestWithParam<bad_text>
{
};

TEST_P(parse_rules_refuses, one_wrong_line)
{
    const auto faults = faults_of(GetParam().text);

    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults.front().code, GetParam().code) << base::describe(faults.front());
    EXPECT_EQ(faults.front().place, GetParam().place);
    EXPECT_THAT(faults.front().detail, testing::HasSubstr(GetParam().detail));
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, parse_rules_refuses,
    testing::Values(
        bad_text{"unknown_word", "klass a # asked by: x", error_code::rules_syntax, "f:1:1",
                 "expected 'workspace', 'class', 'limit' or 'avoid', found 'klass'"},
        bad_text{"early_end", "workspace a guarantee 2 of # asked by: x", error_code::rules_syntax,
                 "f:1:27", "found the end of the line"},
        bad_text{"word_too_many", "avoid worker w-1 w-2 # asked by: x", error_code::rules_syntax,
                 "f:1:18", "expected the end of the line, found 'w-2'"},
        bad_text{"bad_shape", "workspace a guarantee 2 of 4*8 in b # asked by: x",
                 error_code::rules_syntax, "f:1:28", "expected a shape"},
        bad_text{"zero_members", "workspace a guarantee 2 of 0x8 in b # asked by: x",
                 error_code::rules_out_of_range, "f:1:28", "1 to 16384"},
        bad_text{"huge_count", "workspace a guarantee 99999999999 of 1x8 in b # asked by: x",
                 error_code::rules_out_of_range, "f:1:23", "1 to 65536"},
        bad_text{"time_without_unit", "class a deadline 5 # asked by: x", error_code::rules_syntax,
                 "f:1:18", "expected a time"},
        bad_text{"huge_time", "class a deadline 99999999999999999999s # asked by: x",
                 error_code::rules_out_of_range, "f:1:18", "1ms to"},
        bad_text{"infinite_weight", "workspace a share inf # asked by: x",
                 error_code::rules_out_of_range, "f:1:19", "more than 0"},
        bad_text{"option_twice", "class a deadline 5s deadline 6s # asked by: x",
                 error_code::rules_syntax, "f:1:21", "each option once"},
        bad_text{"no_comment", "\nclass a", error_code::rules_comment_missing, "f:2:8",
                 "no comment"},
        bad_text{"comment_names_nobody", "class a # asked by:", error_code::rules_comment_missing,
                 "f:1:8", "does not say"},
        bad_text{"comment_parted_by_a_blank_line", "# asked by: x\n\nclass a",
                 error_code::rules_comment_missing, "f:3:8", "no comment"},
        bad_text{"duplicate", "class a # asked by: x\nclass a deadline 5s # asked by: y",
                 error_code::rules_duplicate, "f:2:1", "line 1 states 'class a' already"},
        bad_text{"unknown_class", "class a # asked by: x\nclass a before b # asked by: x",
                 error_code::rules_unknown_name, "f:2:1", "'class b'"},
        bad_text{"hedged_not_idempotent", "class a not_idempotent hedge after 5ms # asked by: x",
                 error_code::rules_contradictory, "f:1:1", "hedge after"},
        bad_text{"guarantee_above_quota",
                 "workspace a guarantee 3 of 1x8 in b # asked by: x\n"
                 "workspace a quota 23 accelerators # asked by: x",
                 error_code::rules_contradictory, "f:2:1", "24 accelerators"},
        bad_text{"other_grammar", "format 2\nclass a # asked by: x", error_code::rules_syntax,
                 "f:1:1", "expected format 1, found 2"},
        bad_text{"not_utf8", "class a # asked by: \xC3(", error_code::rules_syntax, "f:1:21",
                 "UTF-8"}),
    [](const auto& tested) { return tested.param.name; });

TEST(parse_rules, reports_all_lines_of_a_precedence_cycle)
{
    const auto faults = faults_of("class a # asked by: x\n"
                                  "class b # asked by: x\n"
                                  "class c # asked by: x\n"
                                  "class a before b # asked by: x\n"
                                  "class b before c # asked by: x\n"
                                  "class c before a # asked by: x\n");

    ASSERT_EQ(faults.size(), 3U);
    EXPECT_EQ(faults[0].place, "f:4:1");
    EXPECT_EQ(faults[2].place, "f:6:1");
}

TEST(parse_rules, reports_faults_of_several_lines_at_once)
{
    const auto faults = faults_of("klass a # asked by: x\nclass b\nlimit 4 # asked by: x\n");

    EXPECT_EQ(faults.size(), 3U);
}

/// Any bytes are either refused with errors or read; nothing else happens.
RC_GTEST_PROP(parse_rules_property, survives_any_text, (const std::string& text))
{
    const auto parsed = parse_rules(text);

    const bool names_faults = parsed.has_error() && !parsed.error().errors.empty();
    RC_ASSERT(parsed.has_value() || names_faults);
}

/// Comments may hold any printable words, also `#`.
RC_GTEST_PROP(parse_rules_property, keeps_any_comment, ())
{
    const auto words =
        *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')).as("words");
    const auto text = "# asked by: x " + words + "\n# second\nclass a # " + words + "\n";

    const auto first = parse_rules(text);

    RC_ASSERT(first.has_value());
    const auto second = parse_rules(to_text(first.value()));
    RC_ASSERT(second.has_value());
    RC_ASSERT(second.value().lines[0].comment == first.value().lines[0].comment);
}

} // namespace
} // namespace poplarstile::rules
