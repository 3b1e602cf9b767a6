#pragma once

#include "base/time.hpp"
#include "batch/job.hpp"
#include "control/run_evidence.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

/// What a leader knows of a run that a worker lists and the leader does not count, for logs.
namespace poplarstile::control
{

enum class known_of_run : std::uint8_t {
    /// No open job with this id.
    job_unknown,
    /// The job has no such task.
    task_unknown,
    task_done,
    /// The task waits for its next run.
    task_waiting,
    /// An earlier or a later run of the task is placed.
    other_run_placed,
    /// This very run is placed, on another worker or another incarnation of the worker.
    placed_elsewhere,
};

/// Name in logs.
[[nodiscard]] std::string_view name_of(known_of_run known);

/// What the job's state says of a run; `job` is null when the job is not known.
[[nodiscard]] known_of_run what_is_known(const batch::job* job, const batch::task_ref& ref,
                                         std::uint32_t run);

/// A run that a leader took for over without the word of its worker.
struct given_up_run {
    std::string task{};
    std::uint32_t run = 0;
    std::string worker{};
    run_evidence evidence{};
    base::time_point at{};
};

/// The runs that were given up last.
class given_up_runs
{
public:
    static constexpr std::size_t max_runs = 1'024;

    void add(given_up_run run);

    /// The newest entry of the run; null when there is none. Valid until the next addition.
    [[nodiscard]] const given_up_run* find(std::string_view task, std::uint32_t run) const;

private:
    /// The earliest first.
    std::deque<given_up_run> runs_{};
};

} // namespace poplarstile::control
