#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

/// The scheduler's writes to the table: at most one under way for each job.
namespace poplarstile::scheduling
{
namespace
{

constexpr base::milliseconds write_retry{500};

} // namespace

void scheduler::write_final(job_record& job)
{
    auto row = job.stored;
    row.state = job.state;
    row.detail = job.detail;
    row.started_us = job.started_us;
    row.ended_us = base::wall_clock_us();
    row.operation = next_operation();
    job.writing = row.operation;
    job.final_write = true;
    const auto live = live_job_key(options_.failure_domain, row.spec.id);
    const auto done = done_job_key(options_.failure_domain, row.spec.id);
    out_.emplace_back(write_job{row.spec.id,
                                {row.operation,
                                 {{lease_key_, lease_version_}, {live, job.stored.version}},
                                 {{live, nullptr}, {done, to_json(row)}}}});
}

void scheduler::write_released(job_record& job)
{
    auto row = job.stored;
    row.state = job_state::running;
    row.released = true;
    row.operation = next_operation();
    job.writing = row.operation;
    const auto live = live_job_key(options_.failure_domain, row.spec.id);
    out_.emplace_back(write_job{row.spec.id,
                                {row.operation,
                                 {{lease_key_, lease_version_}, {live, job.stored.version}},
                                 {{live, to_json(row)}}}});
}

void scheduler::handle(job_written& happened)
{
    const auto found = jobs_.find(happened.job);
    if (found == jobs_.end() || phase_ == phase::inactive ||
        found->second.writing != happened.operation) {
        return;
    }
    auto& job = found->second;
    job.writing.clear();
    switch (happened.result.state) {
    case table::commit_state::committed:
        job.stored.version = happened.result.version;
        if (job.final_write) {
            erase_job(happened.job, happened.result.version);
            return;
        }
        job.stored.released = true;
        break;
    case table::commit_state::conflict:
        job.write_again_at = now_ + write_retry;
        take_conflict(job, happened.result);
        return;
    case table::commit_state::not_applied:
    case table::commit_state::unknown:
        job.write_again_at = now_ + write_retry;
        return;
    }
    if (final_state(job.state)) {
        write_final(job);
    } else {
        drive(job);
    }
}

/// A conflict on the job's own row means a cancellation, or that an earlier write took effect and
/// its answer was lost; reading the row tells which.
void scheduler::take_conflict(job_record& job, const table::commit_result& result)
{
    for (const auto& conflict : result.conflicts) {
        if (conflict.key == lease_key_) {
            out_.emplace_back(step_down{"the lease row changed"});
            return;
        }
        if (conflict.version != 0) {
            continue;
        }
        if (job.final_write) {
            // Gone with a transaction that came after its newest known version.
            erase_job(std::string{job.stored.spec.id}, job.stored.version + 1);
            return;
        }
        // The row is gone: the job has ended under an earlier write.
        job.stored.cancel_requested = true;
        if (job.attempt) {
            job.attempt->stop(stop_cause::cancelled, now_);
            drive(job);
        }
        return;
    }
    scanned_at_ = now_;
    out_.emplace_back(scan_jobs{});
}

void scheduler::erase_job(const std::string& id, table::row_version gone_at)
{
    const auto found = jobs_.find(id);
    ended_.add(id, gone_at);
    works_.erase(found->second.sequence);
    jobs_.erase(found);
}

std::string scheduler::next_operation()
{
    return fmt::format("{}-{}-j{}", options_.run_id, token_, next_sequence_++);
}

} // namespace poplarstile::scheduling
