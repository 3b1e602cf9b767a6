#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// What the fuzz targets share.
namespace poplarstile::fuzz
{

/// The fuzzer's bytes as text.
[[nodiscard]] inline std::string_view as_text(const std::uint8_t* data, std::size_t size)
{
    return {reinterpret_cast<const char*>(data), size};
}

/// Takes the text before the first `separator` and leaves the rest in `text`.
[[nodiscard]] inline std::string_view take_until(std::string_view& text, char separator)
{
    const auto end = text.find(separator);
    const auto taken = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return taken;
}

/// Ends the run as a finding when a property of the reader does not hold.
inline void expect(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace poplarstile::fuzz
