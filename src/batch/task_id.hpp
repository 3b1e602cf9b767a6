#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::batch
{

/// Identifies one task among all jobs.
struct task_id {
    std::string job{};
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const task_id&) const = default;
};

/// Formats an id as `JOB.OCCURRENCE.STEP.INDEX`.
[[nodiscard]] std::string to_text(const task_id& id);

/// Parses the output of `to_text`; `std::nullopt` for any other text.
[[nodiscard]] std::optional<task_id> parse_task_id(std::string_view text);

} // namespace poplarstile::batch
