#include "batch/task_id.hpp"

#include <fmt/format.h>

#include <array>
#include <charconv>

namespace poplarstile::batch
{
namespace
{

std::optional<std::uint32_t> parse_number(std::string_view text)
{
    std::uint32_t number = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::string to_text(const task_id& id)
{
    return fmt::format("{}.{}.{}.{}", id.job, id.occurrence, id.step, id.index);
}

std::optional<task_id> parse_task_id(std::string_view text)
{
    // Parsed from the end, so that the id of the job may contain any character, dots included.
    constexpr std::size_t numbers = 3;
    std::array<std::uint32_t, numbers> values{};
    for (std::size_t position = numbers; position > 0; --position) {
        const auto dot = text.rfind('.');
        if (dot == std::string_view::npos) {
            return std::nullopt;
        }
        const auto number = parse_number(text.substr(dot + 1));
        if (!number) {
            return std::nullopt;
        }
        values.at(position - 1) = *number;
        text = text.substr(0, dot);
    }
    if (text.empty()) {
        return std::nullopt;
    }
    return task_id{std::string{text}, values[0], values[1], values[2]};
}

} // namespace poplarstile::batch
