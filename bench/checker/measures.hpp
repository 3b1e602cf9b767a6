#pragma once

#include "bench/checker/history.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

/// Figures of a history: completion times, start times of urgent work, fragmentation.
namespace poplarstile::bench::checker
{

/// Percentiles in milliseconds, by the nearest rank; all 0 when there is no sample.
struct distribution {
    std::size_t count = 0;
    double p50 = 0;
    double p95 = 0;
    double p99 = 0;
};

[[nodiscard]] distribution distribution_of(std::vector<wall_us> durations);

/// From the first sending to the completed answer, by class.
[[nodiscard]] std::map<std::string, distribution> request_completion(const history& seen);

/// From submission to the end of the last member that the workers recorded, by class.
[[nodiscard]] std::map<std::string, distribution> job_completion(const history& seen);

/// From the first sending of urgent requests to their first start on a worker.
[[nodiscard]] distribution urgent_start(const history& seen);

/// Share of free accelerators that can't serve the largest guaranteed shape of their failure
/// domain, from 0 to 1: mean over the time between the first and the last task record.
[[nodiscard]] double fragmentation(const history& seen, std::span<const worker_place> places);

} // namespace poplarstile::bench::checker
