#include "standins/platform_standin/table_store.hpp"

#include <gtest/gtest.h>

namespace poplarstile::standins::platform_standin
{
namespace
{

using poplarstile::table::commit_state;

TEST(table_store, failed_condition_applies_nothing_and_reports_the_version_found)
{
    table_store table;
    ASSERT_EQ(table.transact({"first", {{"a", 0}}, {{"a", 1}}}).state, commit_state::committed);

    const auto second = table.transact({"second", {{"b", 0}, {"a", 0}}, {{"a", 2}, {"b", 2}}});

    EXPECT_EQ(second.state, commit_state::conflict);
    ASSERT_EQ(second.conflicts.size(), 1U);
    EXPECT_EQ(second.conflicts.front().key, "a");
    EXPECT_EQ(second.conflicts.front().version, 1U);
    EXPECT_EQ(table.read("a")->value, 1);
    EXPECT_FALSE(table.read("b").has_value()) << "a transaction must not apply in part";
}

TEST(table_store, versions_grow_over_all_rows_and_survive_deletion)
{
    table_store table;
    ASSERT_EQ(table.transact({"", {}, {{"a", 1}}}).version, 1U);
    ASSERT_EQ(table.transact({"", {}, {{"a", nullptr}}}).version, 2U);

    const auto recreated = table.transact({"", {{"a", 0}}, {{"a", 3}, {"b", 3}}});

    EXPECT_EQ(recreated.state, commit_state::committed);
    EXPECT_EQ(table.read("a")->version, 3U);
    EXPECT_EQ(table.read("b")->version, 3U);
}

TEST(table_store, scan_pages_through_a_prefix_in_key_order)
{
    table_store table;
    static_cast<void>(
        table.transact({"", {}, {{"j/1", 1}, {"j/2", 1}, {"j/3", 1}, {"i", 1}, {"k", 1}}}));

    const auto first = table.scan("j/", "", 2);
    const auto second = table.scan("j/", first.rows.back().key, 2);

    ASSERT_EQ(first.rows.size(), 2U);
    EXPECT_EQ(first.rows.front().key, "j/1");
    EXPECT_TRUE(first.more);
    ASSERT_EQ(second.rows.size(), 1U);
    EXPECT_EQ(second.rows.front().key, "j/3");
    EXPECT_FALSE(second.more);
}

} // namespace
} // namespace poplarstile::standins::platform_standin
