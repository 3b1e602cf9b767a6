#pragma once

#include "base/time.hpp"
#include "bench/load_driver/workload.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Draws, from a workload and a seed, every call of a run beforehand. Pure: the same seed gives the
/// same plan on every machine.
namespace poplarstile::bench::load_driver
{

struct request_call {
    std::string work_class{};
    std::string workspace{};
    std::string marker{};
    /// Empty when no Idempotency-Key is sent.
    std::string key{};
    std::string body{};
    base::milliseconds deadline{0};
    bool idempotent = true;
    bool urgent = false;
};

struct job_call {
    std::size_t stream = 0;
    std::string work_class{};
    std::uint32_t members = 1;
    std::uint32_t accelerators = 1;
    std::string workspace{};
    std::string key{};
    std::string body{};
    bool idempotent = true;
    bool urgent = false;
};

struct cancel_call {
    std::size_t stream = 0;
    double share = 1.0;
};

struct planned_call {
    /// Since the start of the run.
    base::microseconds at{0};
    std::variant<request_call, job_call, cancel_call> call{};
};

struct plan_options {
    base::milliseconds length{0};
    std::uint64_t seed = 1;
    /// Sets apart the keys and markers of runs against the same platform.
    std::string run_name{};
};

/// Every call of the run in the order of its time. Arrivals of a stream are a Poisson process.
[[nodiscard]] std::vector<planned_call> plan_calls(const workload& work,
                                                   const plan_options& options);

} // namespace poplarstile::bench::load_driver
