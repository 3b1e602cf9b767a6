#pragma once

#include "bench/checker/history.hpp"
#include "bench/checker/promises.hpp"
#include "bench/load_driver/deployment.hpp"

#include <string>
#include <vector>

/// Turns a judged history into the readable report and the JSON summary.
namespace poplarstile::bench::load_driver
{

struct run_report {
    std::string readable{};
    std::string summary_json{};
};

[[nodiscard]] run_report report_of(const checker::history& seen, const deployment& target,
                                   const std::vector<checker::violation>& found);

} // namespace poplarstile::bench::load_driver
