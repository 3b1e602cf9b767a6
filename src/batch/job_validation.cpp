#include "batch/job_validation.hpp"

#include <fmt/format.h>

#include <cstdint>
#include <utility>

namespace poplarstile::batch
{

std::optional<std::string> step_count_error(std::size_t steps)
{
    if (steps == 0) {
        return "the job has no steps";
    }
    if (steps > max_steps) {
        return fmt::format("{} steps, at most {}", steps, max_steps);
    }
    return std::nullopt;
}

std::optional<std::string> validation_error(const job_spec& spec)
{
    if (auto fault = step_count_error(spec.steps.size())) {
        return fault;
    }
    std::uint64_t tasks = 0;
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        const auto& step = spec.steps.at(index);
        if (step.task_count == 0) {
            return fmt::format("step {} has no tasks", index);
        }
        if (step.need.cpu_milli < 0 || step.need.memory_mb < 0 || step.need.accelerators < 0) {
            return fmt::format("step {} needs less than nothing", index);
        }
        for (const auto earlier : step.after) {
            if (earlier >= index) {
                return fmt::format("step {} comes after step {}, which is not earlier", index,
                                   earlier);
            }
        }
        tasks += step.task_count;
    }
    if (spec.repeat && (spec.repeat->count == 0 || spec.repeat->interval_ms < 0)) {
        return "the job's times are not in order";
    }
    const std::uint64_t times = spec.occurrences();
    // Each factor first: their product may be beyond 64 bits.
    if (tasks > max_tasks || times > max_tasks || tasks * times > max_tasks) {
        return fmt::format("{} times {} tasks, at most {} in all", times, tasks, max_tasks);
    }
    return std::nullopt;
}

base::result<submission> validated(submission accepted)
{
    if (auto fault = validation_error(accepted.spec)) {
        return base::error{base::error_code::platform_answer_invalid, "job row", std::move(*fault),
                           ""};
    }
    return accepted;
}

} // namespace poplarstile::batch
