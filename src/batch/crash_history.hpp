#pragma once

#include <cstdint>

/// Which tasks are to blame for crashes of the workers that run them. A crash in company is weak
/// evidence: any of the runs may have caused it, or none.
namespace poplarstile::batch
{

/// What is known of a run that was, or may have been, on a worker that crashed.
struct crash_evidence {
    /// Nothing but runs of its own job was on the worker.
    bool alone = false;
    /// The run had only just been started.
    bool at_start = false;
    /// The run had worked for so long that earlier crashes say nothing about it.
    bool after_long_work = false;
};

/// Worker crashes under the runs of a task.
struct crash_history {
    std::uint32_t total = 0;
    /// Of these, the ones that hardly anything but the run can have caused: it was alone and had
    /// just been started.
    std::uint32_t implicating = 0;
    /// Newest run that is counted: a run counts once.
    std::uint32_t last_run = 0;

    bool operator==(const crash_history&) const = default;
};

/// Counts a crash under a run. Returns false when that run, or a later one, is counted already.
bool count_crash(crash_history& history, std::uint32_t run, const crash_evidence& evidence);

/// True when further runs are placed where nothing of another job runs, so that a crash there is
/// proof and takes nothing else along.
[[nodiscard]] bool needs_isolation(const crash_history& history);

/// True when the task is given up: it crashes the workers that start it.
[[nodiscard]] bool is_to_blame(const crash_history& history);

/// The same for a member of a gang whose record, written by an earlier build, has one history for
/// all members. Those crashes count only once two workers have crashed under this member.
[[nodiscard]] bool is_to_blame(const crash_history& history, const crash_history& earlier_of_gang);

} // namespace poplarstile::batch
