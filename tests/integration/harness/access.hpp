#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

/// How the harness reaches the processes that it starts.
namespace poplarstile::integration
{

/// The operators' key of every VM.
inline constexpr std::string_view operator_key = "integration-test-operator-key";

/// `host:port` of a port on this machine.
[[nodiscard]] inline std::string endpoint(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

} // namespace poplarstile::integration
