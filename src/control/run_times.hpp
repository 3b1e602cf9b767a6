#pragma once

#include "base/time.hpp"
#include "estimation/run_time_model.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace poplarstile::control
{

/// Expected run times on a worker of speed 1.
struct step_run_times {
    /// Of one task of the step.
    base::milliseconds step{0};
    /// Of the longest chain of dependent steps that starts with the step.
    base::milliseconds chain{0};
};

/// A finished run, or all members of a gang, on the way to the model.
struct run_time_sample {
    /// When the last of the members began.
    base::time_point began{};
    /// Rack of the first member.
    std::string_view rack{};
    /// Different workers.
    std::vector<estimation::worker_speed*> workers{};
};

/// What a leader has learned of run times and speeds of workers.
struct run_time_summary {
    estimation::model_summary model{};
    /// Workers with at least a few observations, and quantiles of their speeds.
    std::size_t rated_workers = 0;
    double slowest_speed = 1.0;
    double median_speed = 1.0;
    double fastest_speed = 1.0;
};

} // namespace poplarstile::control
