#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::batch
{

/// Names one task within all jobs.
struct task_id {
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_id&) const = default;
};

/// `JOB.OCCURRENCE.STEP.INDEX`
[[nodiscard]] std::string to_text(const task_id& id);

/// Undoes `to_text`; nothing for any other text.
[[nodiscard]] std::optional<task_id> parse_task_id(std::string_view text);

} // namespace poplarstile::batch
