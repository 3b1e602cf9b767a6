#pragma once

#include "base/result.hpp"
#include "bench/checker/history.hpp"
#include "bench/load_driver/deployment.hpp"
#include "bench/load_driver/observer.hpp"
#include "bench/load_driver/plan.hpp"

#include <cstddef>
#include <functional>
#include <span>

/// Drives a plan through the entry VMs, open loop, and keeps the callers' notes.
namespace poplarstile::bench::load_driver
{

struct drive_options {
    base::milliseconds length{0};
    /// Longest wait after the last call for answers and for jobs to end.
    base::milliseconds settle{8'000};
    observer_options observer{};
};

/// Where a run stands, for people who watch it.
struct drive_progress {
    base::milliseconds elapsed{0};
    std::size_t sent = 0;
    std::size_t completed = 0;
    std::size_t in_flight = 0;
    std::size_t jobs_open = 0;
    std::size_t jobs_ended = 0;
    std::size_t vms_ready = 0;
};

using progress_handler = std::function<void(const drive_progress&)>;

/// Sends every call at its time, whatever became of the earlier ones, then waits for what is open.
/// The history holds notes, rules samples and the rule change; records and faults are added later.
/// Error: what the HTTP client could not start with.
[[nodiscard]] base::result<checker::history> drive(const deployment& target,
                                                   std::span<const planned_call> plan,
                                                   const drive_options& options,
                                                   const progress_handler& on_progress);

} // namespace poplarstile::bench::load_driver
