#pragma once

#include "batch/crash_history.hpp"
#include "batch/job_spec.hpp"
#include "batch/task_id.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::batch
{

/// One incarnation of a worker process. A worker that restarts keeps its id and has a new start
/// time; it holds none of the runs of its earlier incarnation.
struct worker_incarnation {
    std::string worker{};
    /// Unix milliseconds of its start.
    std::uint64_t started_at = 0;

    auto operator<=>(const worker_incarnation&) const = default;
};

/// Phase of a task: `waiting` for a worker, `placed` on one (ordered; it may or may not run there
/// yet), or `done`, which is final.
enum class task_phase : std::uint8_t { waiting, placed, done };

/// How a run of a task ended.
enum class run_end : std::uint8_t {
    done,
    /// The task or the worker failed; counts as an attempt.
    failed,
    stopped,
    /// Its lease expired.
    lease_expired,
    /// Another member of its gang ended.
    gang_aborted,
    /// The other members of its gang did not start in time.
    gang_start_timeout,
    /// It never started, or its worker's incarnation ended.
    lost,
};

[[nodiscard]] std::string_view name_of(run_end how);

/// State of one task.
struct task_state {
    task_phase phase = task_phase::waiting;
    /// Number of the newest run; 0 before the first. Numbers increase and are never reused.
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    /// Checkpoint from which the next run may resume; empty to start from the beginning.
    std::string checkpoint{};
    /// Worker of the newest run; valid only while the task is placed.
    worker_incarnation worker{};
    /// `IP:port` of that worker, so that a successor can ask it after its registration has gone;
    /// empty when it is not known.
    std::string address{};
    /// Crashes of workers under the task's runs.
    crash_history crashes{};

    bool operator==(const task_state&) const = default;
};

/// State of the tasks of one step.
struct step_state {
    std::vector<task_state> tasks{};
    std::uint32_t done = 0;
    std::uint32_t placed = 0;
    /// Failed runs of the gang; single tasks count their own.
    std::uint32_t gang_failures = 0;
    /// The gang's run that failed last, so that several failed members of one run count as one
    /// attempt.
    std::uint32_t failed_run = 0;
    /// Crashes under the gang's runs in a record of an earlier build, which did not tell the
    /// member. Nothing is added to it.
    crash_history earlier_gang_crashes{};

    bool operator==(const step_state&) const = default;
};

/// One repetition of a job's steps.
struct occurrence_state {
    std::vector<step_state> steps{};

    bool operator==(const occurrence_state&) const = default;
};

/// Status of a job as callers see it.
enum class job_status : std::uint8_t { pending, running, completed, failed, cancelled };

[[nodiscard]] std::string_view name_of(job_status status);

/// True for a status that never changes.
[[nodiscard]] constexpr bool is_final(job_status status)
{
    return status != job_status::pending && status != job_status::running;
}

/// Position of a task within its job.
struct task_ref {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

/// The tasks of an accepted job and their progress. Enforces the invariants between them: the order
/// of steps, one run of a task at a time, the limit of attempts, and gang members that end
/// together.
class job
{
public:
    explicit job(submission accepted);

    [[nodiscard]] const submission& accepted() const
    {
        return accepted_;
    }
    [[nodiscard]] const std::string& id() const
    {
        return accepted_.job;
    }
    [[nodiscard]] const step_spec& spec_of(std::uint32_t step) const
    {
        return accepted_.spec.steps.at(step);
    }
    [[nodiscard]] const std::vector<occurrence_state>& occurrences() const
    {
        return occurrences_;
    }
    [[nodiscard]] const step_state& step(std::uint32_t occurrence, std::uint32_t step) const
    {
        return occurrences_.at(occurrence).steps.at(step);
    }
    [[nodiscard]] const task_state& task(const task_ref& ref) const
    {
        return step(ref.occurrence, ref.step).tasks.at(ref.index);
    }
    /// True when the job has a task at this position.
    [[nodiscard]] bool has(const task_ref& ref) const;

    [[nodiscard]] job_status status() const;
    [[nodiscard]] bool cancelled() const
    {
        return cancelled_;
    }
    [[nodiscard]] bool failed() const
    {
        return failed_;
    }
    /// True while tasks may still be started.
    [[nodiscard]] bool open() const
    {
        return !cancelled_ && !failed_ && !all_done();
    }
    [[nodiscard]] bool all_done() const
    {
        return done_tasks_ == total_tasks_;
    }
    [[nodiscard]] std::uint32_t placed_tasks() const
    {
        return placed_tasks_;
    }
    /// True when no task of the job is placed on a worker and none will be started.
    [[nodiscard]] bool over() const
    {
        return !open() && placed_tasks_ == 0;
    }
    /// True once a task was placed on a worker.
    [[nodiscard]] bool started() const
    {
        return started_;
    }

    /// True when all steps that this one depends on are done, and the step itself is not.
    [[nodiscard]] bool step_ready(std::uint32_t occurrence, std::uint32_t step) const;

    /// Length of the longest chain of dependent steps (the critical path), by their estimates.
    [[nodiscard]] base::milliseconds longest_chain() const;

    /// Length of the longest chain of dependent steps that starts with a step, by their estimates.
    [[nodiscard]] base::milliseconds chain_from(std::uint32_t step) const;

    /// The same by other run times of the steps.
    [[nodiscard]] base::milliseconds
    chain_from(std::uint32_t step,
               const std::function<base::milliseconds(std::uint32_t)>& run_time_of) const;

    /// Target time from submission to completion.
    [[nodiscard]] base::milliseconds objective() const;

    /// Unix milliseconds at which an occurrence is due; 0 for a job that does not repeat.
    [[nodiscard]] std::int64_t due_ms(std::uint32_t occurrence) const;

    /// Number of the next run of a task; the same for all members of a gang.
    [[nodiscard]] std::uint32_t next_run(const task_ref& ref) const;

    /// Records that a run was assigned to a worker. The members of a gang are placed one by one
    /// under the same run number.
    void place(const task_ref& ref, std::uint32_t run, worker_incarnation worker,
               std::string address = {});

    /// Records the end of a placed run. Returns false when the task has no such run in progress.
    bool end_run(const task_ref& ref, std::uint32_t run, run_end how, std::string_view checkpoint);

    /// Counts a crash of the worker that a run was, or may have been, on; the run may have been
    /// given up since. A member of a gang answers only for the workers that it was on itself. The
    /// job has failed once a task is to blame. Returns false when the crash does not count.
    bool record_crash(const task_ref& ref, std::uint32_t run, const crash_evidence& evidence);

    /// Crashes under the runs of a task.
    [[nodiscard]] const crash_history& crashes_of(const task_ref& ref) const
    {
        return task(ref).crashes;
    }

    /// True once a worker has crashed under a run of the job.
    [[nodiscard]] bool any_crash() const
    {
        return any_crash_;
    }

    /// True when the task's runs are to be placed where nothing of another job runs. A gang is
    /// placed as a whole, so one member that needs it is enough.
    [[nodiscard]] bool needs_isolation(const task_ref& ref) const;

    /// Records that a run ended well after it had been given up. Returns false when the task is
    /// done, or when the run is in progress or was never placed.
    bool finish_earlier_run(const task_ref& ref, std::uint32_t run);

    /// Stores a newer checkpoint of a run in progress.
    void save_checkpoint(const task_ref& ref, std::uint32_t run, std::string_view checkpoint);

    /// Starts no further task; the caller has to stop the runs in progress.
    void cancel()
    {
        cancelled_ = true;
    }

    /// Restores the stored state of the tasks. Returns false and changes nothing when the numbers
    /// of occurrences, steps and tasks differ from the job's.
    bool restore(std::vector<occurrence_state> stored, bool failed);

private:
    [[nodiscard]] step_state& mutable_step(const task_ref& ref)
    {
        return occurrences_.at(ref.occurrence).steps.at(ref.step);
    }
    void mark_done(step_state& step, task_state& task);
    void mark_waiting(step_state& step, task_state& task);
    void count_failure(const task_ref& ref, step_state& step, task_state& task);
    void finish_gang(step_state& step, std::uint32_t run);
    void recount();

    submission accepted_;
    std::vector<occurrence_state> occurrences_;
    std::uint32_t total_tasks_ = 0;
    std::uint32_t done_tasks_ = 0;
    std::uint32_t placed_tasks_ = 0;
    bool started_ = false;
    bool cancelled_ = false;
    bool failed_ = false;
    bool any_crash_ = false;
};

} // namespace poplarstile::batch
