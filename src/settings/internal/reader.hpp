#pragma once

#include "settings/vm_settings.hpp"

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

/// Reads settings members by their descriptors.
namespace poplarstile::settings::internal
{

using fault_list = std::vector<base::error>;

/// Fills settings from a JSON object and adds every fault of single members to `faults`.
[[nodiscard]] vm_settings read_settings(const nlohmann::ordered_json& document, fault_list& faults);

/// True for an IPv4 or IPv6 number.
[[nodiscard]] bool is_ip_number(std::string_view text);

/// True for `IP:port` or `[IPv6]:port` with a port from 1 to 65535.
[[nodiscard]] bool is_endpoint(std::string_view text);

} // namespace poplarstile::settings::internal
