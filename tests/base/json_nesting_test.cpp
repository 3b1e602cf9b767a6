#include "base/json_nesting.hpp"

#include <gtest/gtest.h>

#include <string>

namespace poplarstile::base
{
namespace
{

TEST(json_nesting, CountsArraysAndObjectsThatStandInEachOther)
{
    EXPECT_FALSE(is_nested_deeper_than(R"([{"a":[1]}])", 3));
    EXPECT_TRUE(is_nested_deeper_than(R"([{"a":[1]}])", 2));
}

TEST(json_nesting, ThoseBesideEachOtherAreOneLevel)
{
    std::string text = "[";
    for (int index = 0; index < 1'000; ++index) {
        text += "{},[],";
    }
    EXPECT_FALSE(is_nested_deeper_than(text + "0]", 2));
}

TEST(json_nesting, BracketsInTextsDoNotCount)
{
    EXPECT_FALSE(is_nested_deeper_than(R"(["[[[{{{\"[[[\\"])", 1));
    EXPECT_TRUE(is_nested_deeper_than(R"(["\\",[[]]])", 2));
}

TEST(json_nesting, TextsThatAreNotJsonAreCountedToo)
{
    EXPECT_FALSE(is_nested_deeper_than("]]]}", 1));
    EXPECT_FALSE(is_nested_deeper_than("", 0));
    EXPECT_TRUE(is_nested_deeper_than(std::string(100'000, '['), 32));
}

} // namespace
} // namespace poplarstile::base
