#pragma once

#include "base/result.hpp"
#include "bench/capacity/measurement.hpp"

#include <filesystem>
#include <span>
#include <string>

/// Slopes as JSON, as a text table and as a page with plots.
namespace poplarstile::bench::capacity
{

[[nodiscard]] std::string to_json_text(std::span<const slope> slopes);

/// One line a slope: sizes, fit and spread.
[[nodiscard]] std::string to_text(std::span<const slope> slopes);

/// Writes `index.html` and one SVG a slope. Error: `operator_argument_invalid`.
[[nodiscard]] base::result<void> write_report(std::span<const slope> slopes,
                                              const std::filesystem::path& folder);

} // namespace poplarstile::bench::capacity
