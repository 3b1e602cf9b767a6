#pragma once

#include "batch/job.hpp"

#include <cstdint>
#include <string>

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

/// Load of one queue, for the replies of the API frontends.
struct queue_load {
    std::string queue{};
    /// Number of accepted jobs of which no task has started.
    std::uint32_t waiting = 0;
    /// Seconds after which a new job may be accepted; 0 while the queue accepts jobs.
    std::uint32_t retry_after_s = 0;

    bool operator==(const queue_load&) const = default;
};

} // namespace poplarstile::cluster
