#include "rules/rules_text.hpp"

#include <gtest/gtest.h>

namespace poplarstile::rules
{
namespace
{

class ruleset_queries : public testing::Test
{
protected:
    ruleset rules_ = parse_rules("class a deadline 5s # asked by: x\n"
                                 "class b # asked by: x\n"
                                 "class c # asked by: x\n"
                                 "class a before b # asked by: x\n"
                                 "class b before c # asked by: x\n"
                                 "limit workspace shops 12.5 requests/s # asked by: x\n"
                                 "workspace clubs share 2 # asked by: x\n"
                                 "avoid worker w-1 # asked by: x\n")
                         .value();
};

TEST_F(ruleset_queries, find_only_declared_classes)
{
    ASSERT_NE(rules_.find_class("a"), nullptr);
    EXPECT_EQ(rules_.find_class("a")->deadline, base::milliseconds{5'000});
    EXPECT_EQ(rules_.find_class("d"), nullptr);
}

TEST_F(ruleset_queries, know_each_workspace_that_a_rule_names)
{
    EXPECT_TRUE(rules_.has_workspace("shops"));
    EXPECT_TRUE(rules_.has_workspace("clubs"));
    EXPECT_FALSE(rules_.has_workspace("a"));
    EXPECT_FALSE(rules_.has_workspace(""));
}

TEST_F(ruleset_queries, limit_only_the_workspace_named)
{
    EXPECT_EQ(rules_.rate_limit("shops"), 12.5);
    EXPECT_FALSE(rules_.rate_limit("clubs").has_value());
}

TEST_F(ruleset_queries, follow_chains_of_precedence)
{
    EXPECT_TRUE(rules_.goes_before("a", "c"));
    EXPECT_FALSE(rules_.goes_before("c", "a"));
    EXPECT_FALSE(rules_.goes_before("a", "a"));
}

TEST_F(ruleset_queries, avoid_the_worker_named)
{
    EXPECT_TRUE(rules_.avoids("w-1"));
    EXPECT_FALSE(rules_.avoids("w-2"));
}

} // namespace
} // namespace poplarstile::rules
