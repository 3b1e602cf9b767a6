#pragma once

#include "base/result.hpp"
#include "batch/job_spec.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace poplarstile::batch
{

/// Maximum number of tasks of a job, over all its occurrences.
constexpr std::uint32_t max_tasks = 20'000;
/// Maximum number of steps of a job.
constexpr std::size_t max_steps = 200;

/// Returns why a job may not have this many steps, or nothing. Asked before steps are read that
/// would be refused.
[[nodiscard]] std::optional<std::string> step_count_error(std::size_t steps);

/// Returns why a job could not run on any set of workers, or nothing if it is valid: steps depend
/// on earlier steps only, every step has tasks, no requirement is negative, the repetition is
/// valid, and there are not too many steps and tasks.
[[nodiscard]] std::optional<std::string> validation_error(const job_spec& spec);

/// Returns a job that was read from its row, if it is valid. Error: `platform_answer_invalid`.
[[nodiscard]] base::result<submission> validated(submission accepted);

} // namespace poplarstile::batch
