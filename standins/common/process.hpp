#pragma once

#include "base/result.hpp"
#include "standins/common/json_http.hpp"

#include <string>

/// What every stand-in's `main` needs: ending on a signal and reading its settings.
namespace poplarstile::standins
{

/// Blocks SIGTERM and SIGINT in this thread and in those started later; call before any start.
void block_termination_signals();

/// Waits until SIGTERM or SIGINT arrives.
void wait_for_termination();

/// The JSON object in the file. Errors: `settings_unreadable`, `settings_wrong_type`.
[[nodiscard]] base::result<json> read_settings_file(const std::string& path);

} // namespace poplarstile::standins
