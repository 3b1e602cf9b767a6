#pragma once

#include "base/timers.hpp"
#include "batch/crash_history.hpp"
#include "batch/job.hpp"
#include "control/unknown_runs.hpp"
#include "estimation/worker_speed.hpp"
#include "fleet/worker_clock.hpp"
#include "fleet/worker_facts.hpp"
#include "planning/capacity_hold.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::control
{

/// Identifies the run of a task on a worker.
struct run_key {
    std::string worker{};
    /// Task id in text form.
    std::string task{};

    auto operator<=>(const run_key&) const = default;
};

/// Progress of the order to start a run.
enum class order_state : std::uint8_t {
    /// Not sent, because the run's record is not durable yet.
    unsent,
    /// Sent, without a reply or with one that doesn't show whether the run starts.
    sent,
    /// The worker has accepted it, or lists the run.
    accepted,
};

/// Why a run is being stopped.
enum class stop_reason : std::uint8_t {
    none,
    cancelled,
    reclaimed,
    gang_broken,
    failed,
    moved,
    /// Its worker, or that of a member of its gang, is about to leave.
    evicted,
};

[[nodiscard]] std::string_view name_of(stop_reason why);

/// A run that may be on a worker. Its resources stay reserved until its end is known.
struct live_run {
    std::string job{};
    batch::task_ref ref{};
    std::uint32_t run = 0;
    batch::resources need{};
    order_state order = order_state::unsent;
    /// End of the lease on the worker's clock. Set when the run is planned, so that a pause of the
    /// leader can't lengthen it.
    std::int64_t lease_until = 0;
    /// Checkpoint that the run resumes from; empty when it starts from the beginning.
    std::string start_checkpoint{};
    /// Newest checkpoint that the run has saved.
    std::string checkpoint{};
    base::time_point saved_at{};
    /// Adopted from an earlier leader and not listed by its worker yet.
    bool adopted = false;
    base::time_point planned_at{};
    base::time_point sent_at{};
    /// When the worker was first known to have accepted the run.
    base::time_point accepted_at{};
    std::uint32_t sends = 0;
    /// The worker's current incarnation has listed it as running.
    bool listed = false;
    /// The clock in the answer to its start was that of a later incarnation than the known one.
    bool taken_by_later_incarnation = false;
    /// Starts that were sent and are not answered.
    std::uint32_t starts_under_way = 0;
    /// Starts that have left this VM; the others waited for a connection in vain, or still do.
    std::uint32_t departed_starts = 0;
    /// When the first of them left; valid while there is one.
    base::time_point first_departed_at{};
    stop_reason stopping = stop_reason::none;
    base::time_point stop_sent_at{};
    bool stop_under_way = false;
    std::uint32_t stop_sends = 0;
    /// The worker has acknowledged the stop: the run has ended or will never begin.
    bool stop_acknowledged = false;
    base::time_point stop_acknowledged_at{};
    std::uint32_t percent = 0;
    base::time_point percent_changed_at{};
    /// As its worker listed it first; valid while `listed` is set.
    std::uint32_t first_percent = 0;
    base::time_point first_listed_at{};
};

/// A run that was, or may have been, on a worker when its incarnation ended without notice.
struct crashed_run {
    std::string job{};
    batch::task_ref ref{};
    std::uint32_t run = 0;
    batch::crash_evidence evidence{};
};

/// True when a start of the run may have reached its worker: one has left this VM, or an earlier
/// leader sent it.
[[nodiscard]] bool has_departed(const live_run& run);

/// True when the run began in the worker's current incarnation and no order to start it can reach a
/// later one, so that the run ends with that incarnation.
[[nodiscard]] bool belongs_to_current_incarnation(const live_run& run);

struct worker_state;

/// A poll without a reply of the worker's own.
struct unanswered_poll {
    base::time_point sent{};
    base::time_point given_up{};
    /// The connection was refused.
    bool refused = false;
};

/// Counts a poll without a reply.
void count_unanswered_poll(worker_state& worker, const unanswered_poll& poll);

/// Notes that an order did not reach the worker, which counts as silent since that time until a
/// poll, sent at once, is answered.
void note_unreached(worker_state& worker, base::time_point since, base::time_point now);

/// The runs that a crash of the worker takes with it, and what speaks for each as the cause. Runs
/// whose starts have not left this VM are not among them: nothing of them can have begun.
[[nodiscard]] std::vector<crashed_run> runs_under_crash(const worker_state& worker,
                                                        base::time_point now);

/// When an order was sent, and the incarnation of the worker that was known then.
struct order_sending {
    base::time_point at{};
    std::uint64_t incarnation = 0;
};

/// One sending of the start of a run.
struct start_sending : order_sending {
    /// When it left this VM; empty while it waits for a connection.
    std::optional<base::time_point> departed_at{};
};

/// Records the clock in a worker's reply to an order, unless another incarnation is known by now:
/// the clock may be that of the earlier one. A clock that is earlier than a recorded one makes the
/// incarnation uncertain.
void record_clock(worker_state& worker, const order_sending& sent, std::int64_t worker_ms,
                  base::time_point received);

/// True when the clock in a reply is too early for the known incarnation: a later one has answered.
[[nodiscard]] bool is_of_later_incarnation(const worker_state& worker, const order_sending& sent,
                                           std::int64_t worker_ms);

/// What has been seen of a worker since its registration went.
struct departure_evidence {
    /// The registration was removed sooner after it was written than it can expire, so that only
    /// the worker itself can have removed it.
    bool removed_before_expiry = false;
    /// Polls sent since then that had no reply of the worker's own.
    std::uint32_t unanswered_polls = 0;
    /// A connection to its address was refused, by its host or by anything on the way there.
    bool connection_refused = false;
};

/// The leader's state of one worker.
struct worker_state {
    fleet::worker_facts facts{};
    /// When its registration was last read.
    base::time_point registered_at{};
    /// A time after which its registration was written; empty when none is known.
    std::optional<base::time_point> written_after{};
    /// False once its registration has been removed.
    bool listed = true;
    base::time_point unlisted_at{};
    /// Valid while `listed` is false and no poll has been answered since `unlisted_at`.
    departure_evidence departure{};
    fleet::worker_clock clock{};
    /// Runs that may be on the worker, by task.
    std::map<std::string, live_run> runs{};
    /// What the worker lists beyond that.
    unknown_runs unknown{};
    /// The worker's clock in the newest complete list that was taken.
    std::int64_t newest_list_ms = 0;
    /// When the newest of the polls was sent whose answers were taken.
    base::time_point newest_list_sent{};
    /// Ends up to this number are durable.
    std::uint64_t acknowledged = 0;
    /// Latest clock in a reply of this incarnation, in milliseconds.
    std::int64_t newest_clock = 0;
    /// A reply had an earlier clock: it was overtaken by a later reply, or came from another
    /// incarnation. Until a poll settles this no ends are acknowledged, since each incarnation
    /// numbers its ends anew.
    bool incarnation_uncertain = false;
    /// Highest number of an end that was received from the worker.
    std::uint64_t last_received_end = 0;
    std::uint32_t polls_in_flight = 0;
    /// Something depends on the next poll, which is sent even while another poll waits for a run to
    /// end.
    bool urgent_poll = false;
    /// Numbers up to which ends were processed that are not durable yet.
    std::set<std::uint64_t> unstored_ends{};
    /// Ends of jobs that may be stored in a part that can't be read yet, with the jobs. They are
    /// not acknowledged, so that the worker goes on listing them.
    std::map<std::uint64_t, std::string> deferred_ends{};
    /// Jobs of listed runs that no record read so far has, while some parts are not read yet.
    std::set<std::string> unknown_jobs{};
    /// Polls without a reply since the last one with a reply.
    std::uint32_t unanswered_polls = 0;
    base::time_point answered_at{};
    /// When the first poll since then had no reply; valid while `unanswered_polls` is not 0.
    base::time_point silent_since{};
    base::time_point next_poll_at{};
    /// Runs that were ended because the worker was silent for longer than their leases, until it
    /// shows whether it had crashed.
    std::vector<crashed_run> lost_in_silence{};
    /// When another incarnation under the same id was found.
    base::time_point incarnation_changed_at{};
    /// Another worker answers at its address.
    bool displaced = false;
    /// Latest lease end granted, on the worker's clock.
    std::int64_t greatest_lease = 0;
    /// The worker has accepted a poll with this leader's fencing token.
    bool fenced = false;
    /// When that was known first; valid while `fenced` is set.
    base::time_point fenced_at{};
    /// Moments of failed runs, newest last; of different jobs.
    std::map<std::string, base::time_point> failed_jobs{};
    std::uint32_t done_since_failure = 0;
    /// What urgent work has left a short time ago.
    planning::capacity_hold urgent_hold{};
    /// What finished runs have shown of its speed.
    estimation::worker_speed speed{};
    /// Its position among the workers of the plan that is being made.
    std::size_t plan_index = 0;
};

} // namespace poplarstile::control
