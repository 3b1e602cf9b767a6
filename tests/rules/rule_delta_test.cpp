#include "rules/rule_delta.hpp"

#include <gtest/gtest.h>

namespace poplarstile::rules
{
namespace
{

change_record adding(rules_version version, const std::string& name)
{
    line_record line;
    line.id = "class " + name;
    line.text = line.id;
    line.comment = "asked by: x";
    line.order = static_cast<double>(version);
    line.version = version;
    change_record change;
    change.version = version;
    change.operation = "o" + name;
    change.added = {line};
    return change;
}

const std::vector<change_record> three_changes = {adding(1, "a"), adding(2, "b"), adding(3, "c")};

TEST(delta_after, holds_the_changes_after_a_version)
{
    EXPECT_EQ(delta_after(three_changes, 1)->changes.size(), 2U);
    EXPECT_EQ(delta_after(three_changes, 3)->changes.size(), 0U);
}

TEST(delta_after, is_nothing_when_changes_do_not_reach_back)
{
    const std::span<const change_record> late = std::span{three_changes}.subspan(2);

    EXPECT_FALSE(delta_after(late, 1).has_value());
    EXPECT_FALSE(delta_after({}, 0).has_value());
}

TEST(apply_delta, refuses_a_gap_and_an_older_version)
{
    const auto state = apply_change({}, three_changes[0]).value();

    const auto gap = apply_delta(state, {2, {three_changes[2]}});
    const auto older = apply_delta(state, {0, {three_changes[0]}});

    EXPECT_TRUE(std::holds_alternative<delta_gap>(gap));
    EXPECT_TRUE(std::holds_alternative<delta_outdated>(older));
}

TEST(apply_delta, skips_what_is_there_already)
{
    const auto state = apply_change({}, three_changes[0]).value();

    const auto outcome = apply_delta(state, {0, three_changes});

    ASSERT_TRUE(std::holds_alternative<rules_state>(outcome));
    EXPECT_EQ(std::get<rules_state>(outcome).version, 3U);
    EXPECT_EQ(std::get<rules_state>(outcome).lines.size(), 3U);
}

TEST(apply_delta, asks_for_more_when_its_lines_are_not_those_of_the_sender)
{
    auto state = apply_change({}, three_changes[0]).value();
    auto removal = adding(2, "b");
    removal.removed = {three_changes[2].added.front()};

    const auto outcome = apply_delta(state, {1, {removal}});

    EXPECT_TRUE(std::holds_alternative<delta_gap>(outcome));
}

TEST(delta_codec, reads_what_it_wrote)
{
    const rules_delta delta{0, three_changes};

    const auto read = delta_from_json(to_json(delta), "peer");

    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read.value(), delta);
}

TEST(delta_codec, refuses_what_is_no_delta)
{
    for (const auto* const text :
         {"7", "{}", R"({"from":-1,"changes":[]})", R"({"from":1,"changes":[{"version":2}]})"}) {
        EXPECT_TRUE(delta_from_json(nlohmann::json::parse(text), "peer").has_error()) << text;
    }
}

} // namespace
} // namespace poplarstile::rules
