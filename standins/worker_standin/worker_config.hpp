#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "standins/common/json_http.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Settings of the worker stand-in: one process, many workers.
namespace poplarstile::standins::worker_standin
{

struct worker_config {
    std::string id{};
    std::string failure_domain{};
    std::string rack{};
    /// Place within the rack; workers with neighbouring numbers are adjacent.
    std::uint32_t position = 0;
    std::uint16_t port = 0;
    std::uint32_t accelerators = 8;
    std::uint32_t slots = 8;
};

struct host_config {
    std::string address = "127.0.0.1";
    std::uint16_t control_port = 0;
    base::milliseconds usage_lag{0};
    std::vector<worker_config> workers{};
};

/// Reads the settings. Errors: `settings_wrong_type`, `settings_missing_member`.
[[nodiscard]] base::result<host_config> parse_host_config(const json& text);

} // namespace poplarstile::standins::worker_standin
