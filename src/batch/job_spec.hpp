#pragma once

#include "base/time.hpp"
#include "batch/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::batch
{

/// A step of a job: tasks of the same kind.
struct step_spec {
    std::uint32_t task_count = 0;
    resources need{};
    /// The caller's rough estimate of one task's duration.
    base::milliseconds estimate{0};
    /// Indices of the steps of the job that must be done before this one starts.
    std::vector<std::uint32_t> after{};
    bool checkpoints = false;
    /// All tasks run together or not at all, and end together.
    bool gang = false;
    /// Slower by the remote factor when its tasks run on more than one rack.
    bool one_rack = false;
    /// Label that a worker must have; empty when any worker will do.
    std::string required_label{};
    /// Rack of the input data; slower by the remote factor elsewhere. Empty for none.
    std::string data_rack{};
    /// Maximum number of tasks of one occurrence on one worker; 0 for no limit.
    std::uint32_t max_per_worker = 0;
    /// Copies of a task may run concurrently; the first to end counts.
    bool speculative = false;
    /// Runs until the job is cancelled; restarted whenever a run ends, for whatever reason.
    bool long_running = false;
    std::string image{};
    /// Tail latency that a serving task must not exceed; 0 for none.
    base::milliseconds latency_target{0};
    /// Uses only processor time that other tasks leave idle; its CPU is not counted against the
    /// capacity of a worker.
    bool best_effort = false;
    /// Tasks of a long-running step that the scheduler itself may make unavailable at once; 0 for
    /// no limit.
    std::uint32_t max_unavailable = 0;
};

/// Repeats a job's steps at fixed times.
struct recurrence {
    std::uint32_t count = 0;
    /// Unix milliseconds at which the first occurrence is due.
    std::int64_t first_due_ms = 0;
    std::int64_t interval_ms = 0;
};

/// A job as a caller submits it.
struct job_spec {
    /// Text passed to each task, opaque to the scheduler.
    std::string payload{};
    std::vector<step_spec> steps{};
    std::optional<recurrence> repeat{};

    [[nodiscard]] std::uint32_t occurrences() const
    {
        return repeat ? repeat->count : 1;
    }
};

/// Policy of the queue that a job was submitted to, as it was at submission.
struct queue_policy {
    std::string queue{};
    /// Service whose workers run the tasks.
    std::string service{};
    /// 0 is the most urgent and may preempt the others.
    std::uint32_t priority = 0;
    /// Number of failed runs of a task, or of a gang, after which the job has failed.
    std::uint32_t max_attempts = 1;
    /// The objective is this many times the longest chain of dependent steps, plus
    /// `completion_target`.
    double stretch = 1.0;
    base::milliseconds completion_target{0};
};

/// A job as it was accepted.
struct submission {
    std::string job{};
    std::string workspace{};
    queue_policy policy{};
    job_spec spec{};
    /// Unix milliseconds at which the API frontend received it.
    std::int64_t accepted_ms = 0;
};

} // namespace poplarstile::batch
