#pragma once

#include <string>
#include <string_view>

/// Keys of rows on which the API frontends and the leader agree.
namespace poplarstile::store
{

/// Follows a job's id in the key of the row that holds the wish to cancel it.
inline constexpr std::string_view cancel_suffix = ".cancel";

/// The first key after `key`, for reads that go on behind a row or that end with it.
[[nodiscard]] inline std::string after_key(std::string_view key)
{
    return std::string{key} + '\0';
}

} // namespace poplarstile::store
