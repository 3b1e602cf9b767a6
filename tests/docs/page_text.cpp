#include "docs/page_text.hpp"

#include <algorithm>
#include <fstream>
#include <iterator>

namespace poplarstile::docs
{

std::string text_of(const std::filesystem::path& relative)
{
    std::ifstream file{std::filesystem::path{POPLARSTILE_SOURCE_DIR} / relative};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::set<std::string> all_matches(const std::string& text, const std::string& pattern)
{
    std::set<std::string> found;
    const std::regex wanted{pattern};
    for (std::sregex_iterator at{text.begin(), text.end(), wanted}; at != std::sregex_iterator{};
         ++at) {
        found.insert((*at)[1].str());
    }
    return found;
}

std::vector<std::filesystem::path> files_in(const std::filesystem::path& folder,
                                            std::string_view extension)
{
    const std::filesystem::path root{POPLARSTILE_SOURCE_DIR};
    std::vector<std::filesystem::path> found;
    for (const auto& entry : std::filesystem::directory_iterator{root / folder}) {
        if (entry.path().extension() == extension) {
            found.push_back(std::filesystem::relative(entry.path(), root));
        }
    }
    std::ranges::sort(found);
    return found;
}

} // namespace poplarstile::docs
