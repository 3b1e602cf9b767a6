#pragma once

#include "soak/soak_site.hpp"
#include "support/insistent_crowd.hpp"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Clients outside the limits, as one of the faults of a run.
namespace poplarstile::soak
{

/// Clients that go on until they are destroyed; `variant` is one of `crowd_variants`.
[[nodiscard]] std::unique_ptr<tests::insistent_crowd>
start_client_crowd(const soak_site& site, const std::string& vm, std::string_view variant);

/// To be merged into the settings of the VMs: those of the smallest VM.
[[nodiscard]] nlohmann::json limits_beside_crowds();

/// VMs whose process has needed more memory, or has more descriptors open, than these limits allow.
/// All VMs run.
[[nodiscard]] std::vector<std::string> judge_usage(soak_site& site);

} // namespace poplarstile::soak
