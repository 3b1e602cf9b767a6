#include "docs/page_text.hpp"

#include <gtest/gtest.h>

namespace poplarstile::docs
{
namespace
{

TEST(pages, link_only_to_files_that_are_there)
{
    auto pages = files_in("docs", ".md");
    pages.emplace_back("README.md");
    for (const auto& page : pages) {
        for (const auto& target : all_matches(text_of(page), R"(\]\(([^)#:]+)[^)]*\))")) {
            const auto path =
                std::filesystem::path{POPLARSTILE_SOURCE_DIR} / page.parent_path() / target;
            EXPECT_TRUE(std::filesystem::exists(path)) << page << " links to " << target;
        }
    }
}

TEST(pages, name_only_scripts_that_are_there)
{
    for (const auto* const page : {"README.md", "docs/CAPACITY.md", "docs/PRIMER.md"}) {
        for (const auto& script : all_matches(text_of(page), R"((scripts/[a-z_]+\.sh))")) {
            EXPECT_TRUE(
                std::filesystem::exists(std::filesystem::path{POPLARSTILE_SOURCE_DIR} / script))
                << page << " names " << script;
        }
    }
}

} // namespace
} // namespace poplarstile::docs
