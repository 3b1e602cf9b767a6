#include "rules/rules_diff.hpp"

#include "rules/rules_text.hpp"

#include <gtest/gtest.h>

namespace poplarstile::rules
{
namespace
{

TEST(rules_diff, shows_removed_edited_and_added_lines_but_no_moved_ones)
{
    const auto before = parse_rules("class a # asked by: x\nclass b # asked by: x\n"
                                    "class c # asked by: x\nclass d # asked by: x\n")
                            .value();
    const auto after = parse_rules("class d # asked by: x\nclass c # asked by: y\n"
                                   "class b # asked by: x\nclass e # asked by: x\n")
                           .value();

    const auto text = to_text(diff(before, after));

    EXPECT_EQ(text, "- class a    # asked by: x\n- class c    # asked by: x\n"
                    "+ class c    # asked by: y\n+ class e    # asked by: x\n");
}

} // namespace
} // namespace poplarstile::rules
