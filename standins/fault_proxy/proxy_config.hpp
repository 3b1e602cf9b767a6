#pragma once

#include "base/result.hpp"
#include "standins/common/json_http.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Settings of the fault proxy: which ports it listens on and what the addresses are called.
namespace poplarstile::standins::fault_proxy
{

/// A port that speaks HTTP CONNECT; all that arrives there comes from `name`.
struct source_config {
    std::string name{};
    std::uint16_t port = 0;
};

/// A port whose connections all go to one target, `IP:port`.
struct forward_config {
    std::string name{};
    std::uint16_t port = 0;
    std::string target{};
};

/// One name for several addresses, `IP:port` each.
struct target_config {
    std::string name{};
    std::vector<std::string> addresses{};
};

struct proxy_config {
    std::vector<source_config> sources{};
    std::vector<forward_config> forwards{};
    std::vector<target_config> targets{};
};

/// Reads the settings. Errors: `settings_wrong_type`, `settings_missing_member`.
[[nodiscard]] base::result<proxy_config> parse_proxy_config(const json& text);

} // namespace poplarstile::standins::fault_proxy
