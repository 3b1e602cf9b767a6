#include "batch/job.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace poplarstile::batch
{
namespace
{

constexpr std::array<std::string_view, 7> run_end_names{"done",   "failed", "stopped", "lapsed",
                                                        "broken", "alone",  "lost"};
constexpr std::array<std::string_view, 5> status_names{"pending", "running", "completed", "failed",
                                                       "cancelled"};

occurrence_state new_occurrence(const job_spec& spec)
{
    occurrence_state occurrence;
    occurrence.steps.resize(spec.steps.size());
    for (std::size_t index = 0; index < spec.steps.size(); ++index) {
        occurrence.steps.at(index).tasks.resize(spec.steps.at(index).task_count);
    }
    return occurrence;
}

bool same_shape(const occurrence_state& left, const occurrence_state& right)
{
    return std::ranges::equal(left.steps, right.steps, [](const auto& one, const auto& other) {
        return one.tasks.size() == other.tasks.size();
    });
}

bool has_crash(const step_state& step)
{
    const auto crashed = [](const task_state& task) { return task.crashes != crash_history{}; };
    return step.earlier_gang_crashes != crash_history{} || std::ranges::any_of(step.tasks, crashed);
}

} // namespace

std::string_view name_of(run_end how)
{
    return run_end_names.at(static_cast<std::size_t>(how));
}

std::string_view name_of(job_status status)
{
    return status_names.at(static_cast<std::size_t>(status));
}

job::job(submission accepted) : accepted_{std::move(accepted)}
{
    occurrences_.assign(accepted_.spec.occurrences(), new_occurrence(accepted_.spec));
    recount();
}

bool job::has(const task_ref& ref) const
{
    return ref.occurrence < occurrences_.size() &&
           ref.step < occurrences_.at(ref.occurrence).steps.size() &&
           ref.index < step(ref.occurrence, ref.step).tasks.size();
}

job_status job::status() const
{
    if (all_done()) {
        return job_status::completed;
    }
    if (cancelled_) {
        return job_status::cancelled;
    }
    if (failed_) {
        return job_status::failed;
    }
    return started_ ? job_status::running : job_status::pending;
}

bool job::step_ready(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto& state = this->step(occurrence, step);
    if (state.done == state.tasks.size()) {
        return false;
    }
    return std::ranges::all_of(spec_of(step).after, [&](std::uint32_t earlier) {
        const auto& before = this->step(occurrence, earlier);
        return before.done == before.tasks.size();
    });
}

base::milliseconds job::longest_chain() const
{
    std::vector<base::milliseconds> chains;
    auto longest = base::milliseconds{0};
    for (const auto& step : accepted_.spec.steps) {
        auto before = base::milliseconds{0};
        for (const auto earlier : step.after) {
            before = std::max(before, chains.at(earlier));
        }
        chains.push_back(before + step.estimate);
        longest = std::max(longest, chains.back());
    }
    return longest;
}

base::milliseconds job::chain_from(std::uint32_t step) const
{
    return chain_from(step, [this](std::uint32_t index) { return spec_of(index).estimate; });
}

base::milliseconds
job::chain_from(std::uint32_t step,
                const std::function<base::milliseconds(std::uint32_t)>& run_time_of) const
{
    const auto& steps = accepted_.spec.steps;
    std::vector<base::milliseconds> to_end(steps.size(), base::milliseconds{0});
    for (auto index = steps.size(); index > 0; --index) {
        const auto current = index - 1;
        to_end.at(current) += run_time_of(static_cast<std::uint32_t>(current));
        for (const auto earlier : steps.at(current).after) {
            to_end.at(earlier) = std::max(to_end.at(earlier), to_end.at(current));
        }
    }
    return to_end.at(step);
}

base::milliseconds job::objective() const
{
    const auto stretched = static_cast<double>(longest_chain().count()) * accepted_.policy.stretch;
    return base::milliseconds{std::llround(stretched)} + accepted_.policy.completion_target;
}

std::int64_t job::due_ms(std::uint32_t occurrence) const
{
    const auto& repeat = accepted_.spec.repeat;
    return repeat ? repeat->first_due_ms + occurrence * repeat->interval_ms : 0;
}

std::uint32_t job::next_run(const task_ref& ref) const
{
    const auto& state = step(ref.occurrence, ref.step);
    if (!spec_of(ref.step).gang) {
        return state.tasks.at(ref.index).run + 1;
    }
    const auto newest = std::ranges::max_element(state.tasks, {}, &task_state::run);
    return newest->run + 1;
}

void job::place(const task_ref& ref, std::uint32_t run, worker_incarnation worker,
                std::string address)
{
    auto& step = mutable_step(ref);
    auto& task = step.tasks.at(ref.index);
    if (task.phase == task_phase::waiting) {
        ++step.placed;
        ++placed_tasks_;
    }
    task.phase = task_phase::placed;
    task.run = run;
    task.worker = std::move(worker);
    task.address = std::move(address);
    started_ = true;
}

bool job::end_run(const task_ref& ref, std::uint32_t run, run_end how, std::string_view checkpoint)
{
    auto& step = mutable_step(ref);
    auto& task = step.tasks.at(ref.index);
    if (task.phase != task_phase::placed || task.run != run) {
        return false;
    }
    const auto& spec = spec_of(ref.step);
    if (how == run_end::done && !spec.long_running) {
        if (spec.gang) {
            finish_gang(step, run);
        } else {
            mark_done(step, task);
        }
        return true;
    }
    save_checkpoint(ref, run, checkpoint);
    mark_waiting(step, task);
    if (how == run_end::failed && !spec.long_running) {
        count_failure(ref, step, task);
    }
    return true;
}

bool job::needs_isolation(const task_ref& ref) const
{
    if (!spec_of(ref.step).gang) {
        return batch::needs_isolation(crashes_of(ref));
    }
    const auto& gang = step(ref.occurrence, ref.step);
    return batch::needs_isolation(gang.earlier_gang_crashes) ||
           std::ranges::any_of(gang.tasks, [](const task_state& member) {
               return batch::needs_isolation(member.crashes);
           });
}

bool job::record_crash(const task_ref& ref, std::uint32_t run, const crash_evidence& evidence)
{
    auto& step = mutable_step(ref);
    auto& task = step.tasks.at(ref.index);
    auto& earlier = step.earlier_gang_crashes;
    if (task.phase == task_phase::done || run > task.run || run <= earlier.last_run) {
        return false;
    }
    if (!count_crash(task.crashes, run, evidence)) {
        return false;
    }
    if (evidence.after_long_work) {
        earlier = {};
    }
    any_crash_ = true;
    failed_ = failed_ || is_to_blame(task.crashes, earlier);
    return true;
}

bool job::finish_earlier_run(const task_ref& ref, std::uint32_t run)
{
    if (!open() || !has(ref) || spec_of(ref.step).long_running) {
        return false;
    }
    auto& step = mutable_step(ref);
    auto& task = step.tasks.at(ref.index);
    const bool given_up = run < task.run || (run == task.run && task.phase == task_phase::waiting);
    if (task.phase == task_phase::done || !given_up) {
        return false;
    }
    if (!spec_of(ref.step).gang) {
        mark_done(step, task);
        return true;
    }
    for (auto& member : step.tasks) {
        if (member.phase != task_phase::done) {
            mark_done(step, member);
        }
    }
    return true;
}

void job::save_checkpoint(const task_ref& ref, std::uint32_t run, std::string_view checkpoint)
{
    if (checkpoint.empty()) {
        return;
    }
    auto& step = mutable_step(ref);
    if (!spec_of(ref.step).gang) {
        auto& task = step.tasks.at(ref.index);
        if (task.run == run) {
            task.checkpoint = checkpoint;
        }
        return;
    }
    // A checkpoint of one member is valid for the whole gang, and all members must resume from the
    // same one.
    for (auto& member : step.tasks) {
        member.checkpoint = checkpoint;
    }
}

void job::mark_done(step_state& step, task_state& task)
{
    if (task.phase == task_phase::placed) {
        --step.placed;
        --placed_tasks_;
    }
    task.phase = task_phase::done;
    task.worker = {};
    task.address.clear();
    task.checkpoint.clear();
    ++step.done;
    ++done_tasks_;
}

void job::mark_waiting(step_state& step, task_state& task)
{
    task.phase = task_phase::waiting;
    task.worker = {};
    task.address.clear();
    --step.placed;
    --placed_tasks_;
}

void job::count_failure(const task_ref& ref, step_state& step, task_state& task)
{
    const auto max_attempts = accepted_.policy.max_attempts;
    if (!spec_of(ref.step).gang) {
        ++task.failures;
        failed_ = failed_ || task.failures >= max_attempts;
        return;
    }
    if (step.failed_run != task.run) {
        step.failed_run = task.run;
        ++step.gang_failures;
        failed_ = failed_ || step.gang_failures >= max_attempts;
    }
}

void job::finish_gang(step_state& step, std::uint32_t run)
{
    for (auto& member : step.tasks) {
        if (member.phase != task_phase::done && member.run == run) {
            mark_done(step, member);
        }
    }
}

bool job::restore(std::vector<occurrence_state> stored, bool failed)
{
    if (!std::ranges::equal(stored, occurrences_, same_shape)) {
        return false;
    }
    occurrences_ = std::move(stored);
    failed_ = failed;
    recount();
    return true;
}

void job::recount()
{
    total_tasks_ = 0;
    done_tasks_ = 0;
    placed_tasks_ = 0;
    started_ = false;
    any_crash_ = false;
    for (auto& occurrence : occurrences_) {
        for (auto& step : occurrence.steps) {
            any_crash_ = any_crash_ || has_crash(step);
            const auto in_phase = [&step](task_phase phase) {
                return static_cast<std::uint32_t>(
                    std::ranges::count(step.tasks, phase, &task_state::phase));
            };
            step.done = in_phase(task_phase::done);
            step.placed = in_phase(task_phase::placed);
            total_tasks_ += static_cast<std::uint32_t>(step.tasks.size());
            done_tasks_ += step.done;
            placed_tasks_ += step.placed;
            started_ = started_ || std::ranges::any_of(step.tasks, [](const task_state& task) {
                           return task.run > 0;
                       });
        }
    }
}

} // namespace poplarstile::batch
