#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace poplarstile::poplarctl
{

/// The label `domain` and the value of each sample of a metric in the text of a metrics port.
/// Samples without that label, and what can't be read, are left out.
[[nodiscard]] std::vector<std::pair<std::string, double>>
samples_by_domain(std::string_view metrics, std::string_view name);

/// The drained failure domains that the metrics of several VMs tell of, as a list of objects
/// `domain`, `drained_s` (the longest that a VM has known of it) and `runs` (from the VM that
/// leads; absent when it is not among them).
[[nodiscard]] nlohmann::json drained_domains(const std::vector<std::string>& metrics);

} // namespace poplarstile::poplarctl
