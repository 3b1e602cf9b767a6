#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace poplarstile::rules::internal
{

/// Offset of the first byte that is not UTF-8 (RFC 3629) or a control character other than tab and
/// a final carriage return; nothing when the line is sound.
[[nodiscard]] std::optional<std::size_t> find_bad_byte(std::string_view line);

} // namespace poplarstile::rules::internal
