#pragma once

#include "batch/job_spec.hpp"
#include "batch/task_id.hpp"

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::batch
{

/// One life of a worker: the same id with another start holds nothing of the earlier one.
struct worker_incarnation {
    std::string worker{};
    /// Unix milliseconds of its start.
    std::uint64_t started_at = 0;

    auto operator<=>(const worker_incarnation&) const = default;
};

/// Where a task is: nowhere, ordered to a worker (it may or may not run there), or done for good.
enum class task_phase : std::uint8_t { waiting, placed, done };

/// How a run of a task ended.
enum class run_end : std::uint8_t {
    done,
    /// By the task's own fault or the worker's; counts as an attempt.
    failed,
    stopped,
    /// Its lease ran out.
    lease_expired,
    /// Another member of its gang ended.
    gang_aborted,
    /// It waited too long for the other members of its gang.
    gang_start_timeout,
    /// It never began, or its worker's life is over.
    lost,
};

[[nodiscard]] std::string_view name_of(run_end how);

struct task_state {
    task_phase phase = task_phase::waiting;
    /// Number of the newest run; 0 before the first. Numbers rise and are never used again.
    std::uint32_t run = 0;
    std::uint32_t failures = 0;
    /// From where the next run may resume; empty for the beginning.
    std::string checkpoint{};
    /// Meaningful while the task is placed.
    worker_incarnation worker{};

    bool operator==(const task_state&) const = default;
};

struct step_state {
    std::vector<task_state> tasks{};
    std::uint32_t done = 0;
    std::uint32_t placed = 0;
    /// Failed runs of the gang; single tasks count their own.
    std::uint32_t gang_failures = 0;
    /// The gang's run that failed last, so that several ends of one run count once.
    std::uint32_t failed_run = 0;

    bool operator==(const step_state&) const = default;
};

/// One repetition of a job's steps.
struct occurrence_state {
    std::vector<step_state> steps{};

    bool operator==(const occurrence_state&) const = default;
};

/// What callers are shown.
enum class job_status : std::uint8_t { pending, running, completed, failed, cancelled };

[[nodiscard]] std::string_view name_of(job_status status);

/// True for a status that never changes again.
[[nodiscard]] constexpr bool is_final(job_status status)
{
    return status != job_status::pending && status != job_status::running;
}

/// A task within its job.
struct task_ref {
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const task_ref&) const = default;
};

/// The tasks of an accepted job and how far they are. Keeps the rules between its parts: order of
/// steps, one run at a time, attempts, members of a gang ending together.
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
    /// True when the job has such a task.
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
    /// True when nothing of the job is at a worker any more and no task will be started.
    [[nodiscard]] bool over() const
    {
        return !open() && placed_tasks_ == 0;
    }
    /// True once a task was given to a worker.
    [[nodiscard]] bool started() const
    {
        return started_;
    }

    /// True when the steps that this one comes after are done, and the step itself is not.
    [[nodiscard]] bool step_ready(std::uint32_t occurrence, std::uint32_t step) const;

    /// The longest chain of steps that come after each other, by their estimates.
    [[nodiscard]] base::milliseconds longest_chain() const;

    /// The longest chain that begins with a step, by the estimates.
    [[nodiscard]] base::milliseconds chain_from(std::uint32_t step) const;

    /// Time from the submission within which the job is in time.
    [[nodiscard]] base::milliseconds objective() const;

    /// Unix milliseconds at which an occurrence is due; 0 for a job without times.
    [[nodiscard]] std::int64_t due_ms(std::uint32_t occurrence) const;

    /// Run number that the next run of a task must have; the same for all members of a gang.
    [[nodiscard]] std::uint32_t next_run(const task_ref& ref) const;

    /// Notes that a run was given to a worker. Members of a gang are placed one by one with one
    /// run.
    void place(const task_ref& ref, std::uint32_t run, worker_incarnation worker);

    /// Notes the end of a placed run. False when the task has no such run under way.
    bool end_run(const task_ref& ref, std::uint32_t run, run_end how, std::string_view checkpoint);

    /// Keeps a newer checkpoint of a run under way.
    void save_checkpoint(const task_ref& ref, std::uint32_t run, std::string_view checkpoint);

    /// Starts no further task; what runs has to be stopped.
    void cancel()
    {
        cancelled_ = true;
    }

    /// Puts back what was stored of the job's tasks. False, changing nothing, when it doesn't match
    /// the job's shape.
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
};

} // namespace poplarstile::batch
