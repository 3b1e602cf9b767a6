#pragma once

#include "base/result.hpp"
#include "bench/checker/history.hpp"

#include <string>
#include <string_view>
#include <vector>

/// What the driver knows of a deployment: read from the same files as the programs read.
namespace poplarstile::bench::load_driver
{

struct entry_vm {
    std::string id{};
    std::string failure_domain{};
    /// `IP:port` of callers and of operators.
    std::string caller_address{};
    std::string operator_address{};
    std::string operator_key{};
};

struct deployment {
    std::vector<entry_vm> vms{};
    std::string platform_address{};
    std::vector<std::string> control_addresses{};
    std::vector<checker::worker_place> workers{};
    std::vector<checker::guarantee> guarantees{};
};

/// Whole text of a file. Error: `operator_argument_invalid`.
[[nodiscard]] base::result<std::string> read_file(const std::string& path);

/// Values of the `guarantee` lines of a rules file; other lines are skipped.
[[nodiscard]] std::vector<checker::guarantee> guarantees_of(std::string_view rules);

/// Reads `settings/*.json`, `workers/*.json` and `rules.txt` of a deployment's folder.
[[nodiscard]] base::result<deployment> load_deployment(const std::string& folder);

} // namespace poplarstile::bench::load_driver
