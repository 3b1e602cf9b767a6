#pragma once

#include "scheduling/job.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What is shown of jobs and workers.
namespace poplarstile::scheduling
{

/// Why a job is where it is, from the decision last taken about it.
struct job_reason {
    /// What has to happen next; empty when the job waits for nothing.
    std::string waits_for{};
    /// The line of the rules that it rests on; empty when none.
    std::string rule{};
    /// Jobs that occupy the cell that needs the fewest to end.
    std::vector<std::string> blocked_by{};
    /// What would let the job go on.
    std::string would_change{};
};

/// One step in the life of a job.
struct job_step {
    std::int64_t time_us = 0;
    std::string what{};
    std::string why{};
};

/// What is shown of a job that this scheduler knows.
struct job_view {
    job_spec spec{};
    job_state state = job_state::queued;
    std::string detail{};
    std::int64_t started_us = 0;
    std::uint32_t attempts = 0;
    /// True while it runs within its workspace's guarantee.
    bool guaranteed = false;
    /// Run time so far over all attempts, as far as it was kept.
    base::milliseconds attained{0};
    job_reason reason{};
    std::vector<job_step> history{};
};

struct scheduler_counters {
    std::size_t queued = 0;
    std::size_t starting = 0;
    std::size_t running = 0;
    std::uint64_t placements = 0;
    std::uint64_t requeued = 0;
    /// Gangs stopped for another workspace's guarantee.
    std::uint64_t reclaimed = 0;
    /// Accelerator milliseconds that were run and not kept when gangs gave way.
    std::uint64_t lost_to_reclaim_ms = 0;
    /// Guaranteed shapes that can't all be had at once now, for want of hardware.
    std::size_t guarantees_unmet = 0;
};

struct worker_view {
    std::string id{};
    std::string state{};
    std::uint32_t free_accelerators = 0;
};

/// Free room of the failure domain by shape.
struct shape_room {
    rules::shape shape{};
    /// Whole cells that are free now.
    std::uint32_t free = 0;
    /// Whole cells that are free or run work that gives way to a guarantee.
    std::uint32_t reclaimable = 0;
};

struct room_view {
    std::uint32_t free_accelerators = 0;
    std::vector<shape_room> shapes{};
    /// The largest shape that can start now; total 0 when nothing is free.
    rules::shape largest_free{0, 0};
    /// Free accelerators outside free cells of the next guaranteed shape, as a share of those free.
    double unusable_share = 0.0;
};

} // namespace poplarstile::scheduling
