#pragma once

#include "base/result.hpp"
#include "soak/soak_site.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace poplarstile::soak
{

struct run_options {
    std::uint64_t seed = 1;
    base::milliseconds span{10'000};
    site_shape shape{};
    std::size_t callers = 8;
    /// Goes on until the rows of all ended jobs have to be gone.
    bool await_removal = false;
    /// Some jobs have a task that crashes each worker that starts it.
    bool deadly_jobs = false;
    /// Workers shrink and grow.
    bool capacity_changes = false;
    /// Registrations expire while their workers drain and run on; some runs take long.
    bool lapsing_registrations = false;
    /// Leaders change again and again, while workers carry out orders late and are nearly full.
    bool handovers = false;
    /// Workers are cut off and reborn again and again; callers go on for a while after the faults.
    bool reborn_workers = false;
    /// Failure domains are drained again and again.
    bool domain_drains = false;
    /// Clients outside the limits send to the VMs, whose settings have the limits of small VMs.
    bool client_crowds = false;
    /// Logs and settings of the run go here.
    std::string folder{};
};

struct run_result {
    /// Broken promises, one a line; empty for none.
    std::vector<std::string> violations{};
    std::size_t faults = 0;
    std::size_t jobs = 0;
    std::size_t accepted = 0;
    std::size_t refused = 0;
    /// Starts in other failure domains while one had been drained for longer than the bound.
    std::size_t starts_beside_drains = 0;
    /// From the end of the faults until every accepted job had ended.
    base::milliseconds settled_after{0};
    /// From then until the rows of the jobs were gone; 0 where that was not awaited.
    base::milliseconds removed_after{0};
};

/// Makes the run under way end early, with its processes; may be called from a signal handler.
void request_stop();
[[nodiscard]] bool stop_requested();

/// Plays one seed: callers and faults for the span, then all faults end and what was accepted has
/// to end too, to be known for its time and, if that is awaited, to be gone after it. Error: the
/// site did not start.
[[nodiscard]] base::result<run_result> play(const run_options& options);

} // namespace poplarstile::soak
