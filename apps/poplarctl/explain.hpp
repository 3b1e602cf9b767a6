#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

/// What became of one job, from the logs of the VMs alone: it works when the VMs are gone.
namespace poplarstile::poplarctl
{

/// One line of a VM's structured log.
using log_line = nlohmann::json;

/// The structured lines of a log. Text before a line's object is passed over, and so are lines
/// without one, since collectors put their own words in front.
[[nodiscard]] std::vector<log_line> read_log(std::istream& text);

/// The lines that bear on a job, in the order of their time: its own, those on workers that ran its
/// tasks, and, while it was open, those on who led and on the store.
[[nodiscard]] std::vector<log_line> lines_about(const std::vector<log_line>& all,
                                                std::string_view job);

/// The lines as text, with the time since the first; a sentence when there is none.
[[nodiscard]] std::string explain(const std::vector<log_line>& lines, std::string_view job);

} // namespace poplarstile::poplarctl
