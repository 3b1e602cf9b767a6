#include "rules/rules_replica.hpp"

#include "rules/model_table.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace poplarstile::rules
{
namespace
{

/// A table with versions 1 to `count`, each changing the deadline of one class.
model_table table_with_versions(std::size_t count)
{
    model_table table;
    for (std::size_t number = 1; number <= count; ++number) {
        const auto rows = table.scan("rules/");
        const auto stored = read_rules(rows, log_start(rows)).value();
        const auto text = fmt::format("class a deadline {}ms # asked by: x\n", number + 1'000);
        auto plan = plan_apply(stored, {"owner", stored.state.version, parse_rules(text).value(),
                                        fmt::format("o{}", number), 7});
        EXPECT_TRUE(table.transact(std::get<planned_change>(plan).transaction));
    }
    return table;
}

stored_rules read(const model_table& table)
{
    const auto rows = table.scan("rules/");
    return read_rules(rows, log_start(rows)).value();
}

TEST(rules_replica, follows_the_table_by_deltas_of_another_replica)
{
    rules_replica leading;
    rules_replica following;
    ASSERT_TRUE(leading.take(read(table_with_versions(2))));
    ASSERT_TRUE(following.take(leading.state()));
    ASSERT_TRUE(leading.take(read(table_with_versions(5))));

    ASSERT_TRUE(following.take(leading.changes_after(2).value()));

    EXPECT_EQ(following.state(), leading.state());
    EXPECT_EQ(following.changes_after(2)->changes.size(), 3U)
        << "a replica hands on the changes that it learned";
}

TEST(rules_replica, never_goes_back_to_an_older_version)
{
    rules_replica replica;
    ASSERT_TRUE(replica.take(read(table_with_versions(4))));
    const auto newest = replica.state();
    const auto older = read(table_with_versions(3));

    EXPECT_FALSE(replica.take(older)) << "a late answer of the table";
    EXPECT_FALSE(replica.take(older.state)) << "a snapshot of a peer that was cut off";
    EXPECT_FALSE(replica.take(rules_delta{2, {older.changes.back()}})) << "a late delta";

    EXPECT_EQ(replica.state(), newest);
}

TEST(rules_replica, asks_for_a_snapshot_when_its_history_is_too_short)
{
    rules_replica replica;
    ASSERT_TRUE(replica.take(read(table_with_versions(3)).state));

    EXPECT_FALSE(replica.changes_after(1).has_value());
}

TEST(rules_log, keeps_a_bounded_number_of_changes_in_the_table)
{
    constexpr std::size_t versions = max_log_rows + 20;
    const auto table = table_with_versions(versions);

    EXPECT_EQ(table.scan("rules/log/").size(), max_log_rows);
    EXPECT_EQ(read(table).state.version, versions);
}

TEST(rules_log, names_the_known_versions_when_a_base_was_compacted_away)
{
    const auto stored = read(table_with_versions(max_log_rows + 3));

    const auto plan =
        plan_apply(stored, {"owner", 1, parse_rules("class b # asked by: y\n").value(), "late", 7});

    const auto* const refused = std::get_if<apply_refused>(&plan);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->errors.front().code, base::error_code::rules_base_unknown);
    EXPECT_FALSE(state_at(stored, 1).has_value());
    EXPECT_TRUE(state_at(stored, stored.log_after).has_value());
}

} // namespace
} // namespace poplarstile::rules
