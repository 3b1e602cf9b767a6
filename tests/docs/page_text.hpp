#pragma once

#include <filesystem>
#include <regex>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Texts of the project's own files, for tests that hold pages and programs together.
namespace poplarstile::docs
{

/// The whole text of a file of the source tree; empty when it can't be read.
[[nodiscard]] std::string text_of(const std::filesystem::path& relative);

/// First group of each match.
[[nodiscard]] std::set<std::string> all_matches(const std::string& text,
                                                const std::string& pattern);

/// Files below a folder of the source tree with this extension, relative to the tree.
[[nodiscard]] std::vector<std::filesystem::path> files_in(const std::filesystem::path& folder,
                                                          std::string_view extension);

} // namespace poplarstile::docs
