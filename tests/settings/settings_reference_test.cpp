#include "settings/settings_reference.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace poplarstile::settings
{
namespace
{

TEST(settings_reference, matches_the_page)
{
    std::ifstream page{POPLARSTILE_SOURCE_DIR "/docs/SETTINGS.md"};
    std::stringstream text;
    text << page.rdbuf();

    EXPECT_EQ(text.str(), reference_page())
        << "write docs/SETTINGS.md anew with scripts/settings_page.sh";
}

} // namespace
} // namespace poplarstile::settings
