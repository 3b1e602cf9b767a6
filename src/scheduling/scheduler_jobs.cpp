#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

/// The life of a job from its row to its end.
namespace poplarstile::scheduling
{
namespace
{

using workers::task_state;

/// Orders that were not confirmed are given again after this time.
constexpr base::milliseconds order_retry{200};
/// Longest wait for all members to be held, and for all to start once released.
constexpr base::milliseconds hold_timeout{2'000};
/// Wait after the first attempt that did not start or failed; doubles with each.
constexpr base::milliseconds first_backoff{100};
constexpr std::uint32_t max_backoff_doublings = 6;
/// Failed attempts after which a job is at fault, on however few workers.
constexpr std::uint32_t max_failures = 10;
constexpr std::size_t max_history = 16;

} // namespace

void scheduler::handle(jobs_listed& happened)
{
    if (phase_ == phase::inactive) {
        return;
    }
    jobs_known_ = true;
    unreadable_ = {happened.unreadable.begin(), happened.unreadable.end()};
    for (auto& job : happened.jobs) {
        add_job(std::move(job));
    }
}

void scheduler::handle(job_submitted& happened)
{
    // A row that is older than the lease may have gone under a predecessor, one that is older than
    // a forgotten end may have gone under this lease; a scan finds it if not.
    const auto oldest = std::max(lease_version_, ended_.forgotten_up_to());
    if (phase_ != phase::inactive && happened.job.version >= oldest) {
        add_job(std::move(happened.job));
    }
}

void scheduler::add_job(stored_job job)
{
    const auto id = job.spec.id;
    if (ended_.is_gone(id, job.version)) {
        return;
    }
    auto [entry, added] = jobs_.try_emplace(id);
    auto& record = entry->second;
    if (added) {
        record.stored = std::move(job);
        record.sequence = next_sequence_++;
        record.queued_since = now_;
        works_[record.sequence] = &record;
        if (phase_ == phase::active) {
            settle_new_job(record);
        }
        return;
    }
    if (job.version > record.stored.version) {
        record.stored.version = job.version;
        record.stored.released = record.stored.released || job.released;
        record.stored.cancel_requested = record.stored.cancel_requested || job.cancel_requested;
    }
    if (record.stored.cancel_requested) {
        cancel_requested request{id};
        handle(request);
    }
}

/// A job without any task: what its row says decides.
void scheduler::settle_new_job(job_record& job)
{
    if (job.stored.released) {
        finish_job(job, job_state::unknown, "released before the scheduler was replaced");
    } else if (job.stored.cancel_requested) {
        finish_job(job, job_state::cancelled, "cancelled while queued");
    } else if (!hardware_.can_hold(job.stored.spec.shape)) {
        finish_job(job, job_state::rejected, "no adjacent workers have room for this shape");
    } else {
        enqueue(job);
        arrived_.push_back(job.stored.spec.id);
        place_again_ = true;
    }
}

void scheduler::handle(cancel_requested& happened)
{
    const auto found = jobs_.find(happened.job);
    if (found == jobs_.end()) {
        return;
    }
    auto& job = found->second;
    job.stored.cancel_requested = true;
    if (final_state(job.state) || phase_ != phase::active) {
        return;
    }
    if (!job.attempt) {
        finish_job(job, job_state::cancelled, "cancelled while queued");
        return;
    }
    job.attempt->stop(stop_cause::cancelled, now_);
    drive(job);
}

void scheduler::handle(task_answered& happened)
{
    const auto owner = task_jobs_.find(happened.task);
    if (phase_ != phase::active || owner == task_jobs_.end()) {
        return;
    }
    auto& job = jobs_.at(owner->second);
    using kind = workers::task_answer::kind;
    const bool refused = happened.answer.result == kind::refused;
    if (refused && happened.answer.reason == "token") {
        out_.emplace_back(step_down{"a worker has seen a newer token"});
    }
    if (happened.answer.result == kind::accepted) {
        job.attempt->record_state(happened.task, happened.answer.state, now_);
    } else if (happened.order == "hold") {
        const bool surely_absent = happened.answer.result == kind::not_sent ||
                                   (refused && happened.answer.reason != "known");
        if (surely_absent) {
            job.attempt->record_refusal(happened.task, now_);
        } else {
            job.attempt->stop(stop_cause::member_refused, now_);
        }
    } else if (happened.order == "release" && refused) {
        job.attempt->stop(stop_cause::member_lost, now_);
    }
    if (happened.order == "checkpoint") {
        record_checkpoint(job, happened);
    }
    drive(job);
}

/// Carries out what the phase of the job's gang asks for.
void scheduler::drive(job_record& job)
{
    if (!job.attempt || final_state(job.state)) {
        return;
    }
    switch (job.attempt->phase()) {
    case gang_phase::holding:
    case gang_phase::releasing:
        return;
    case gang_phase::held:
        if (job.stored.spec.idempotent || job.stored.released) {
            release_members(job);
        } else if (job.writing.empty() && now_ >= job.write_again_at) {
            write_released(job);
        }
        return;
    case gang_phase::running:
        note_running(job);
        return;
    case gang_phase::stopping:
        // Orders are repeated by time, not by every answer.
        if (now_ - job.orders_sent_at >= order_retry ||
            job.orders_sent_at < job.attempt->phase_since()) {
            stop_members(job);
        }
        return;
    case gang_phase::ended:
        finish_attempt(job);
        return;
    }
}

/// Gives orders again that were not confirmed in time, and ends waits that last too long.
void scheduler::drive_overdue(job_record& job)
{
    if (final_state(job.state)) {
        if (job.writing.empty() && now_ >= job.write_again_at) {
            write_final(job);
        }
        return;
    }
    if (!job.attempt) {
        return;
    }
    const bool holding = job.attempt->phase() == gang_phase::holding;
    const bool releasing = job.attempt->phase() == gang_phase::releasing;
    const auto waited = now_ - job.attempt->phase_since();
    if ((holding || releasing) && waited >= hold_timeout) {
        job.attempt->stop(holding ? stop_cause::member_refused : stop_cause::member_lost, now_);
    } else if (releasing && now_ - job.orders_sent_at >= order_retry) {
        release_members(job);
    }
    if (job.yielding && now_ >= job.yielding->checkpoint_due) {
        stop_yielding(job);
    }
    drive(job);
}

/// Releasing twice changes nothing on a worker.
void scheduler::release_members(job_record& job)
{
    job.attempt->begin_release(now_);
    job.orders_sent_at = now_;
    for (const auto& member : job.attempt->members()) {
        if (member.state == task_state::held) {
            out_.emplace_back(order_task{workers_[member.worker].description.address, member.task,
                                         "release", token_});
        }
    }
}

void scheduler::stop_members(job_record& job)
{
    job.orders_sent_at = now_;
    for (const auto& member : job.attempt->members()) {
        if (!member.settled) {
            out_.emplace_back(order_task{workers_[member.worker].description.address, member.task,
                                         "stop", token_});
        }
    }
}

void scheduler::note_running(job_record& job)
{
    if (job.state == job_state::running) {
        return;
    }
    job.state = job_state::running;
    job.started_us = base::wall_clock_us();
    job.running_since = now_;
    job.checkpointed_at = now_;
    job.detail = "all members run";
    note("job.running", job, "");
}

void scheduler::finish_attempt(job_record& job)
{
    if (job.attempt->completed()) {
        // The members may have ended before all of them were seen running.
        note_running(job);
    }
    allocation_.release(job.sequence);
    place_again_ = true;
    const auto ended = std::move(*job.attempt);
    job.attempt.reset();
    forget_tasks(ended);
    queue_.remove_use(job.stored.spec.workspace, job.stored.spec.shape.total());
    end_attempt(job, ended);
    job.yielding.reset();
}

/// Decides what becomes of a job whose attempt has ended on every worker.
void scheduler::end_attempt(job_record& job, const gang& attempt)
{
    const bool failed = attempt.cause() == stop_cause::member_failed;
    for (const auto& member : attempt.members()) {
        const auto& worker = workers_[member.worker].description.id;
        if (member.state == task_state::failed && !std::ranges::count(job.failed_on, worker)) {
            job.failed_on.push_back(worker);
        }
    }
    job.failures += failed ? 1 : 0;
    const bool gave_way = attempt.cause() == stop_cause::reclaimed;
    if (attempt.completed()) {
        finish_job(job, job_state::completed, "");
    } else if (job.stored.cancel_requested) {
        finish_job(job, job_state::cancelled, "cancelled by the caller");
    } else if (attempt.was_released() && !job.stored.spec.idempotent) {
        finish_job(job, failed ? job_state::failed : job_state::unknown,
                   failed ? "a member failed" : "a member was lost after the release");
    } else if (job.failed_on.size() >= options_.failures_to_give_up ||
               job.failures >= max_failures) {
        finish_job(job, job_state::failed,
                   fmt::format("failed {} times on {} different workers", job.failures,
                               job.failed_on.size()));
    } else if (gave_way) {
        job.retry_at = now_;
        requeue(job, fmt::format("gave way to a guarantee of '{}'", job.yielding->workspace));
    } else {
        const auto doublings = std::min(job.attempts, max_backoff_doublings);
        job.retry_at = now_ + first_backoff * (1U << doublings) / 2;
        requeue(job, "a member was refused, lost or failed");
    }
}

void scheduler::requeue(job_record& job, std::string detail)
{
    ++counters_.requeued;
    job.state = job_state::queued;
    job.detail = std::move(detail);
    job.queued_since = now_;
    enqueue(job);
    note("job.requeued", job, job.detail);
}

void scheduler::finish_job(job_record& job, job_state state, std::string detail)
{
    allocation_.release(job.sequence);
    (void)queue_.remove(job.sequence);
    place_again_ = true;
    job.state = state;
    job.detail = std::move(detail);
    note("job.ended", job, fmt::format("{} {}", to_string(state), job.detail));
    if (job.writing.empty()) {
        write_final(job);
    }
}

void scheduler::forget_tasks(const gang& attempt)
{
    for (const auto& member : attempt.members()) {
        task_jobs_.erase(member.task);
        workers_[member.worker].tasks.erase(member.task);
    }
}

void scheduler::note(std::string kind, job_record& job, std::string detail)
{
    if (job.history.size() == max_history) {
        job.history.erase(job.history.begin());
    }
    job.history.push_back({base::wall_clock_us(), kind, detail});
    out_.emplace_back(note_event{std::move(kind), "job/" + job.stored.spec.id,
                                 job.stored.spec.class_name, std::move(detail)});
}

} // namespace poplarstile::scheduling
