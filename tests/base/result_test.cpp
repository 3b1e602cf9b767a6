#include "base/result.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace poplarstile::base
{
namespace
{

TEST(error_table, rises_without_gaps_in_meaning)
{
    const auto entries = error_entries();

    EXPECT_TRUE(std::ranges::is_sorted(entries, {}, &error_entry::code));
    for (const auto& entry : entries) {
        EXPECT_FALSE(entry.meaning.empty()) << entry.name;
        EXPECT_FALSE(entry.remedy.empty()) << entry.name;
    }
}

TEST(error_table, matches_the_page)
{
    std::ifstream page{POPLARSTILE_SOURCE_DIR "/docs/ERRORS.md"};
    std::stringstream text;
    text << page.rdbuf();

    for (const auto& entry : error_entries()) {
        std::stringstream row;
        row << "| " << static_cast<unsigned>(entry.code) << " | `" << entry.name << "` | "
            << entry.meaning << " | " << entry.remedy << " |\n";
        EXPECT_NE(text.str().find(row.str()), std::string::npos)
            << "docs/ERRORS.md lacks the row: " << row.str();
    }
}

TEST(describe, names_code_place_and_remedy)
{
    const error failure{error_code::settings_missing_member, "limits.queue", "no such member", ""};

    EXPECT_EQ(describe(failure), "error 1003 settings_missing_member at limits.queue: no such "
                                 "member. Remedy: add the member.");
}

} // namespace
} // namespace poplarstile::base
