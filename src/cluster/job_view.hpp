#pragma once

#include "batch/job.hpp"

#include <cstdint>
#include <string>

namespace poplarstile::cluster
{

/// What every VM knows of a job.
struct job_view {
    std::string job{};
    std::string queue{};
    std::string workspace{};
    batch::job_status status = batch::job_status::pending;

    bool operator==(const job_view&) const = default;
};

/// Load of one queue, for the answers of the API frontends.
struct queue_load {
    std::string queue{};
    /// Accepted jobs of which no task has started.
    std::uint32_t waiting = 0;
    /// Seconds after which new jobs have a chance; 0 while the queue takes jobs.
    std::uint32_t retry_after_s = 0;

    bool operator==(const queue_load&) const = default;
};

} // namespace poplarstile::cluster
