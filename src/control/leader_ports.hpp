#pragma once

#include "base/timers.hpp"
#include "catalog/catalog.hpp"
#include "catalog/domain_drains.hpp"
#include "cluster/job_view.hpp"
#include "control/lost_work.hpp"
#include "control/run_evidence.hpp"
#include "fleet/worker_directory.hpp"
#include "fleet/worker_orders.hpp"
#include "planning/waiting_cause.hpp"
#include "store/journal.hpp"
#include "store/part_map.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

/// What a leader is given by its owner, and what it tells of its work.
namespace poplarstile::control
{

/// Limits and intervals of the leader; those of the platform come from the settings.
struct leader_options {
    store::part_map parts{};
    /// Longest lease that a worker grants.
    base::milliseconds longest_lease{6'000};
    /// Time that stopping a run may take on a worker.
    base::milliseconds stop_time{200};
    /// Time that a member of a gang waits for the other members.
    base::milliseconds gang_wait{3'000};
    /// How long the stored state of an ended job is kept.
    base::milliseconds status_retention{120'000};
    /// How long a request to cancel a job that is in no part is kept after it was read. A
    /// submission of the job that is carried out, or sent again, in this time is cancelled.
    base::milliseconds cancel_retention{120'000};
    /// Longest time that a poll may wait at a worker for a run to end.
    base::milliseconds poll_wait{2'000};
    /// Interval at which workers renew their registrations; three missed ones end a registration.
    base::milliseconds worker_heartbeat{1'500};
    /// Within which nothing starts any more in a failure domain that the operator drains; 0 where
    /// none can be drained.
    base::milliseconds domain_drain_time{0};
    /// How far past its newest confirmed commit a leader extends leases at workers.
    base::milliseconds lease_horizon{9'000};
    /// Longest value of a row that the store takes, in bytes.
    std::size_t max_row_bytes = 65'536;
    /// Bandwidth of this VM's link, in kbit/s; 0 when it is not known.
    std::uint32_t link_kbit = 0;
    /// Stop work that will not end before its draining worker leaves, so that it starts elsewhere.
    bool evict_from_leaving_workers = false;
    /// Orders and places work by the run times and worker speeds that finished runs have shown.
    bool learned_run_times = false;
    /// Tells the API frontends in which queues new jobs would begin too late to be of use.
    bool refuse_hopeless_jobs = false;
};

/// A duration of the leader's work, exported to operators as a histogram.
enum class leader_span : std::uint8_t {
    /// From a job's acceptance until its first task is placed.
    job_until_placed,
    /// From a job's acceptance until its end is stored.
    job_until_end,
    /// From the election until the stored state has been read.
    takeover,
    plan,
};

[[nodiscard]] std::string_view name_of(leader_span span);

/// Numbers of waiting units of work, by `planning::waiting_cause`.
using waiting_cause_counts = std::array<std::size_t, planning::waiting_cause_count>;

/// Interfaces through which the leader reaches the store, the workers, the clock and its owner.
struct leader_ports {
    const store::row_store* rows = nullptr;
    const fleet::worker_directory* directory = nullptr;
    const fleet::worker_orders* orders = nullptr;
    const base::timers* time = nullptr;
    /// Returns the configuration in force, which may be null.
    std::function<catalog::catalog_ptr()> catalog{};
    /// Returns the failure domains that the operator drains; empty where none can be drained.
    std::function<const catalog::domain_drains&()> drains{};
    /// Reads them anew; the handler is told whether the store has served the read.
    std::function<void(std::function<void(bool served)>)> read_drains{};
    /// Called after every durable change of a job's status.
    std::function<void(const cluster::job_view&)> on_status{};
    /// Called with each span when it ends; may be empty.
    std::function<void(leader_span span, base::milliseconds took)> on_span{};
    /// Called with the lease record when another leader is found.
    std::function<void(const store::lease_record& found)> on_lost{};
};

struct leader_counters {
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t polls = 0;
    std::uint64_t preemptions = 0;
    std::uint64_t lost_runs = 0;
    run_evidence_counts lost_runs_by_evidence{};
    /// Incarnations of workers that ended without notice.
    std::uint64_t worker_crashes = 0;
    /// Runs that were, or may have been, on such a worker.
    std::uint64_t crashed_runs = 0;
    std::uint64_t jobs_failed_by_crashes = 0;
    std::array<std::uint64_t, 7> ends{};
    std::uint64_t unreadable_workers = 0;
    /// Rows of jobs and records of runs that were read and could not be used.
    std::uint64_t unreadable_rows = 0;
    std::uint64_t plans = 0;
    std::uint64_t commits = 0;
    std::uint64_t commit_retries = 0;
    std::uint64_t commit_backlog = 0;
    /// Ended jobs of earlier leaders whose time was not known for certain and was stored anew.
    std::uint64_t end_times_stored_anew = 0;
    std::uint64_t expired_rows_removed = 0;
    std::uint64_t duplicate_rows_removed = 0;
    /// Work that was done and is lost, since the last checkpoints.
    core_seconds_by_cause lost_core_seconds{};
};

} // namespace poplarstile::control
