#pragma once

#include "scheduling/job.hpp"
#include "workers/worker_messages.hpp"

#include <memory>
#include <string>
#include <variant>
#include <vector>

/// What goes into and comes out of the scheduler of a failure domain.
namespace poplarstile::scheduling
{

/// A worker as the settings describe it.
struct worker_description {
    std::string id{};
    /// `IP:port`.
    std::string address{};
    std::string rack{};
    /// Place in its rack; neighbours have consecutive numbers.
    std::uint32_t position = 0;
    std::uint32_t accelerators = 8;
};

// Events.

/// This VM holds the scheduler lease now. `lease_version` is the version of the lease row: every
/// table write of the scheduler is conditional on it.
struct lease_gained {
    workers::fencing_token token = 0;
    std::string lease_key{};
    table::row_version lease_version = 0;
};
struct lease_lost {
};
/// All live job rows of the failure domain.
struct jobs_listed {
    std::vector<stored_job> jobs{};
    /// Ids of jobs whose live rows can't be read: what runs of them is let be.
    std::vector<std::string> unreadable{};
};
/// A job accepted by some VM: its row was stored under this version, at any time before. Only a
/// hint, since the row may be gone.
struct job_submitted {
    stored_job job{};
};
struct cancel_requested {
    std::string job{};
};
/// Answer to the `renew_worker` or `probe_worker` of the same round.
struct worker_reported {
    std::string worker{};
    std::uint64_t round = 0;
    workers::lease_answer answer{};
};
/// Answer to `hold_task` or `order_task`.
struct task_answered {
    std::string task{};
    std::string order{};
    workers::task_answer answer{};
};
/// Answer to `write_job`.
struct job_written {
    std::string job{};
    /// Operation of the transaction that this answers.
    std::string operation{};
    table::commit_result result{};
};
struct rules_changed {
    std::shared_ptr<const rules::ruleset> rules{};
};
struct time_passed {
};

using event = std::variant<lease_gained, lease_lost, jobs_listed, job_submitted, cancel_requested,
                           worker_reported, task_answered, job_written, rules_changed, time_passed>;

// Actions.

struct scan_jobs {
};
/// Renews the leases of all tasks on a worker.
struct renew_worker {
    std::string worker{};
    std::string address{};
    workers::fencing_token token = 0;
    std::uint64_t round = 0;
};
/// Asks a silent worker for its tasks without renewing them.
struct probe_worker {
    std::string worker{};
    std::string address{};
    std::uint64_t round = 0;
};
struct hold_task {
    std::string address{};
    workers::hold_call call{};
};
/// `order` is `release`, `checkpoint`, `stop` or `forget`.
struct order_task {
    std::string address{};
    std::string task{};
    std::string order{};
    workers::fencing_token token = 0;
};
struct write_job {
    std::string job{};
    table::table_transaction transaction{};
};
/// The lease is held by a newer holder, as a worker or the table said.
struct step_down {
    std::string reason{};
};
/// For the time line.
struct note_event {
    std::string kind{};
    std::string subject{};
    std::string cause{};
    std::string detail{};
};

using action = std::variant<scan_jobs, renew_worker, probe_worker, hold_task, order_task, write_job,
                            step_down, note_event>;
using actions = std::vector<action>;

} // namespace poplarstile::scheduling
