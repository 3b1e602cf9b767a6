#include "rules/rule_store.hpp"

#include "rules/model_table.hpp"
#include "rules/rules_text.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace poplarstile::rules
{
namespace
{

using base::error_code;

rules_proposal proposal_of(const std::string& operation, rules_version base, std::string_view text)
{
    return {"op-" + operation, base, parse_rules(text).value(), operation, 7};
}

class rule_store : public testing::Test
{
protected:
    [[nodiscard]] stored_rules read(rules_version log_after = 0) const
    {
        return read_rules(table_.scan("rules/"), log_after).value();
    }

    /// Plans and commits; the text must merge.
    rules_version accept(const rules_proposal& proposal)
    {
        auto plan = plan_apply(read(), proposal);
        auto& change = std::get<planned_change>(plan);
        EXPECT_TRUE(table_.transact(change.transaction));
        return change.state.version;
    }

    [[nodiscard]] std::string text_in_force() const
    {
        return to_text(to_ruleset(read().state).value());
    }

    model_table table_;
};

TEST_F(rule_store, starts_empty_and_counts_versions_from_one)
{
    EXPECT_EQ(read().state.version, 0U);

    EXPECT_EQ(accept(proposal_of("o1", 0, "class a # asked by: x\n")), 1U);
    EXPECT_EQ(accept(proposal_of("o2", 1, "class a deadline 1s # asked by: x\n")), 2U);

    EXPECT_EQ(text_in_force(), "format 1 version 2\nclass a deadline 1s    # asked by: x\n");
    EXPECT_EQ(read().state.lines.front().author, "op-o2");
}

TEST_F(rule_store, merges_changes_of_different_lines)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\nclass b # asked by: x\n"));
    accept(proposal_of("o2", 1, "class a deadline 1s # asked by: x\nclass b # asked by: x\n"));

    accept(proposal_of("o3", 1, "# Head.\n\nclass c # asked by: y\nclass a # asked by: x\n"));

    EXPECT_EQ(text_in_force(), "format 1 version 3\n\n# Head.\n\nclass c    # asked by: y\n"
                               "class a deadline 1s    # asked by: x\n");
}

TEST_F(rule_store, shows_both_sides_of_a_line_changed_twice)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\n"));
    accept(proposal_of("o2", 1, "class a deadline 1s # asked by: x\n"));

    const auto plan = plan_apply(read(), proposal_of("o3", 1, "class a # asked by: z\n"));

    ASSERT_TRUE(std::holds_alternative<apply_conflicts>(plan));
    const auto& conflict = std::get<apply_conflicts>(plan).conflicts.at(0);
    EXPECT_EQ(conflict.id, "class a");
    EXPECT_EQ(conflict.yours->comment, "asked by: z");
    EXPECT_EQ(conflict.theirs->text, "class a deadline 1s");
    EXPECT_EQ(conflict.author, "op-o2");
}

TEST_F(rule_store, treats_removal_against_edit_as_a_conflict)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\nclass b # asked by: x\n"));
    accept(proposal_of("o2", 1, "class b # asked by: x\n"));

    const auto plan = plan_apply(
        read(), proposal_of("o3", 1, "class a deadline 1s # asked by: x\nclass b # asked by: x\n"));

    ASSERT_TRUE(std::holds_alternative<apply_conflicts>(plan));
    EXPECT_FALSE(std::get<apply_conflicts>(plan).conflicts.at(0).theirs.has_value());
}

TEST_F(rule_store, finds_two_edits_of_one_line_that_change_its_id)
{
    accept(proposal_of("o1", 0, "workspace a guarantee 1 of 4x8 in d # asked by: x\n"));
    accept(proposal_of("o2", 1, "workspace a guarantee 1 of 4x4 in d # asked by: x\n"));

    const auto plan = plan_apply(
        read(), proposal_of("o3", 1, "workspace a guarantee 1 of 2x8 in d # asked by: x\n"));

    ASSERT_TRUE(std::holds_alternative<apply_conflicts>(plan))
        << "both guarantees in force would bind more than either operator asked for";
    const auto& conflict = std::get<apply_conflicts>(plan).conflicts.at(0);
    EXPECT_EQ(conflict.yours->text, "workspace a guarantee 1 of 2x8 in d");
    EXPECT_EQ(conflict.theirs->text, "workspace a guarantee 1 of 4x4 in d");
}

TEST_F(rule_store, counts_a_line_that_was_removed_and_added_again_as_changed)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\n"));
    accept(proposal_of("o2", 1, ""));
    accept(proposal_of("o3", 2, "class a # asked by: x\n"));

    const auto plan = plan_apply(read(), proposal_of("o4", 1, ""));

    EXPECT_TRUE(std::holds_alternative<apply_conflicts>(plan))
        << "the last operator never saw that the line was asked for again";
}

TEST_F(rule_store, counts_a_line_that_was_added_and_removed_again_as_changed)
{
    accept(proposal_of("o1", 0, "class b # asked by: x\n"));
    accept(proposal_of("o2", 1, "class a # asked by: x\nclass b # asked by: x\n"));
    accept(proposal_of("o3", 2, "class b # asked by: x\n"));

    const auto plan =
        plan_apply(read(), proposal_of("o4", 1, "class a # asked by: x\nclass b # asked by: x\n"));

    EXPECT_TRUE(std::holds_alternative<apply_conflicts>(plan));
}

TEST_F(rule_store, refuses_a_merge_that_is_contradictory_as_a_whole)
{
    const std::string both = "class a # asked by: x\nclass b # asked by: x\n";
    accept(proposal_of("o1", 0, both));
    accept(proposal_of("o2", 1, both + "class a before b # asked by: x\n"));

    const auto plan =
        plan_apply(read(), proposal_of("o3", 1, both + "class b before a # asked by: x\n"));

    ASSERT_TRUE(std::holds_alternative<apply_refused>(plan));
    EXPECT_EQ(std::get<apply_refused>(plan).errors.front().code, error_code::rules_contradictory);
}

TEST_F(rule_store, asks_the_guarantee_check_about_the_merged_rules)
{
    const auto refuse_all = [](const ruleset& rules) {
        EXPECT_EQ(rules.lines.size(), 1U);
        return std::vector<base::error>{{error_code::rules_infeasible, "merged:1:1", "", ""}};
    };

    const auto plan =
        plan_apply(read(), proposal_of("o1", 0, "class a # asked by: x\n"), refuse_all);

    ASSERT_TRUE(std::holds_alternative<apply_refused>(plan));
    EXPECT_EQ(std::get<apply_refused>(plan).errors.front().code, error_code::rules_infeasible);
}

TEST_F(rule_store, removes_nothing_for_a_text_without_a_version)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\n"));

    accept(proposal_of("o2", 0, "class b # asked by: x\n"));

    EXPECT_EQ(read().state.lines.size(), 2U);
}

TEST_F(rule_store, refuses_a_base_that_the_log_does_not_reach)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\n"));
    accept(proposal_of("o2", 1, "class b # asked by: x\n"));

    for (const rules_version base : {0U, 3U}) {
        const auto plan = plan_apply(read(1), proposal_of("o3", base, "class c # asked by: x\n"));
        ASSERT_TRUE(std::holds_alternative<apply_refused>(plan)) << base;
        EXPECT_EQ(std::get<apply_refused>(plan).errors.front().code,
                  error_code::rules_base_unknown);
    }
}

TEST_F(rule_store, plans_a_repeated_operation_as_in_force)
{
    const auto proposal = proposal_of("o1", 0, "class a # asked by: x\n");
    accept(proposal);
    accept(proposal_of("o2", 1, "class b # asked by: x\n"));

    const auto plan = plan_apply(read(), proposal);

    ASSERT_TRUE(std::holds_alternative<already_in_force>(plan));
    EXPECT_EQ(std::get<already_in_force>(plan).version, 1U);
}

TEST_F(rule_store, settles_a_lost_answer)
{
    auto first = plan_apply(read(), proposal_of("o1", 0, "class a # asked by: x\n"));
    const auto& change = std::get<planned_change>(first);

    EXPECT_TRUE(std::holds_alternative<settled_undecided>(settle(read(), "o1", change.head_row)))
        << "the transaction may still be on its way";
    accept(proposal_of("o2", 0, "class b # asked by: x\n"));
    EXPECT_TRUE(std::holds_alternative<settled_not_applied>(settle(read(), "o1", change.head_row)));
    EXPECT_FALSE(table_.transact(change.transaction));
    EXPECT_TRUE(std::holds_alternative<settled_applied>(settle(read(), "o2", change.head_row)));
}

TEST_F(rule_store, notices_a_change_between_two_pages_of_a_scan)
{
    accept(proposal_of("o1", 0, "class a # asked by: x\nclass b # asked by: x\n"));
    auto rows = table_.scan("rules/head");
    accept(proposal_of("o2", 1, "class b # asked by: x\n"));
    for (const auto* const prefix : {"rules/line/", "rules/log/"}) {
        const auto page = table_.scan(prefix);
        rows.insert(rows.end(), page.begin(), page.end());
    }

    const auto torn = read_rules(rows);

    ASSERT_TRUE(torn.has_error());
    EXPECT_EQ(torn.error().code, error_code::platform_conflict);
}

TEST_F(rule_store, refuses_rows_that_it_can_not_read)
{
    const std::vector<table::table_row> rows = {
        {"rules/head", 3, {{"version", "one"}, {"ending", ""}}}};

    const auto stored = read_rules(rows);

    ASSERT_TRUE(stored.has_error());
    EXPECT_EQ(stored.error().code, error_code::platform_answer_invalid);
    EXPECT_EQ(stored.error().place, "rules/head");
}

} // namespace
} // namespace poplarstile::rules
