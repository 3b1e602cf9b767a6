#pragma once

#include "batch/job_spec.hpp"

#include <optional>
#include <string>

namespace poplarstile::frontend
{

/// Most tasks that a job may have over all its occurrences.
constexpr std::uint32_t max_tasks = 20'000;
constexpr std::size_t max_steps = 200;

/// What makes a job impossible to run whatever workers there are; nothing when it is sound: steps
/// come after earlier steps only, every step has tasks, and there are not too many.
[[nodiscard]] std::optional<std::string> validation_error(const batch::job_spec& spec);

} // namespace poplarstile::frontend
