#pragma once

#include <cstddef>
#include <string_view>

/// Nesting of JSON texts from outside, looked at before a parser builds them.
namespace poplarstile::base
{

/// True when arrays and objects of the text stand in each other more than `levels` deep. Takes time
/// in proportion to the length and no memory. The text need not be valid JSON.
[[nodiscard]] bool is_nested_deeper_than(std::string_view text, std::size_t levels);

} // namespace poplarstile::base
