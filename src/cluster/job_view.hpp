#pragma once

#include "batch/job.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::cluster
{

/// The summary of a job that is replicated to every VM.
struct job_view {
    std::string job{};
    std::string queue{};
    std::string workspace{};
    batch::job_status status = batch::job_status::pending;

    bool operator==(const job_view&) const = default;
};

/// Expected waits in a queue that is short of capacity; as in `planning::queue_shortage`.
struct queue_shortage {
    /// Until the useful work ahead of a new job has begun.
    std::uint32_t wait_ms = 0;
    /// The same, counting only work that is expected to meet its objective.
    std::uint32_t in_time_wait_ms = 0;
    /// Part of the capacity that is left to work which can no longer meet its objective, in
    /// thousandths.
    std::uint32_t late_permille = 1'000;
    /// Workspaces that have at least their fair share of the queue's work. Only their jobs may be
    /// refused.
    std::vector<std::string> at_fair_share{};

    bool operator==(const queue_shortage&) const = default;
};

/// Load of one queue, for the replies of the API frontends.
struct queue_load {
    std::string queue{};
    /// Number of accepted jobs of which no task has started.
    std::uint32_t waiting = 0;
    /// Seconds after which a new job may be accepted; 0 while the queue accepts jobs.
    std::uint32_t retry_after_s = 0;
    /// Set while new jobs of the queue may be hopeless.
    std::optional<queue_shortage> shortage{};

    bool operator==(const queue_load&) const = default;
};

} // namespace poplarstile::cluster
