#pragma once

#include "base/timers.hpp"
#include "batch/job.hpp"
#include "fleet/worker_clock.hpp"
#include "fleet/worker_facts.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace poplarstile::control
{

/// Names a run at a worker.
struct run_key {
    std::string worker{};
    /// Task in text form.
    std::string task{};

    auto operator<=>(const run_key&) const = default;
};

/// How far the order to start a run is.
enum class order_state : std::uint8_t {
    /// Its record is not durable yet.
    unsent,
    /// Sent; no answer, or an answer that settles nothing.
    sent,
    /// The worker has taken it, or shows the run.
    accepted,
};

/// Why a run was told to stop.
enum class stop_reason : std::uint8_t { none, cancelled, reclaimed, gang_broken, failed, moved };

[[nodiscard]] std::string_view name_of(stop_reason why);

/// A run that may be at a worker: its room stays taken until its end is known.
struct live_run {
    std::string job{};
    batch::task_ref ref{};
    std::uint32_t run = 0;
    batch::resources need{};
    order_state order = order_state::unsent;
    /// On the worker's clock; set when the run was planned, so that no pause can lengthen it.
    std::int64_t lease_until = 0;
    /// Where the run resumes; empty for the beginning.
    std::string start_checkpoint{};
    /// The newest that the run has saved.
    std::string checkpoint{};
    base::time_point saved_at{};
    /// Taken over from an earlier leader and not yet shown by its worker.
    bool adopted = false;
    base::time_point planned_at{};
    base::time_point sent_at{};
    /// When the worker was first known to run it.
    base::time_point accepted_at{};
    std::uint32_t sends = 0;
    /// The worker's present life has listed it as running.
    bool listed = false;
    bool start_under_way = false;
    stop_reason stopping = stop_reason::none;
    base::time_point stop_sent_at{};
    bool stop_under_way = false;
    /// The stop was answered: the run has ended or will never begin.
    bool stop_acknowledged = false;
    base::time_point stop_acknowledged_at{};
    std::uint32_t percent = 0;
    base::time_point percent_changed_at{};
};

/// True when the run began in the worker's present life and no order to start it can reach a later
/// one: it is over as soon as that life is.
[[nodiscard]] bool belongs_to_current_incarnation(const live_run& run);

struct worker_state;

/// Takes note of the clock in a worker's answer.
void record_clock(worker_state& worker, std::int64_t worker_ms);

/// One worker as the leader knows it.
struct worker_state {
    fleet::worker_facts facts{};
    /// False once its registration is gone.
    bool listed = true;
    base::time_point unlisted_at{};
    fleet::worker_clock clock{};
    batch::resources used{};
    /// Runs that may be there, by task.
    std::map<std::string, live_run> runs{};
    /// Ends up to this number are durable.
    std::uint64_t acknowledged = 0;
    /// Latest clock in an answer of this life.
    std::int64_t newest_clock = 0;
    /// An answer showed an earlier clock: it was overtaken, or another life gave it. Until a look
    /// tells, nothing is acknowledged, since ends are numbered anew in each life.
    bool incarnation_uncertain = false;
    /// Ends up to this number have been taken in.
    std::uint64_t last_received_end = 0;
    std::uint32_t polls_in_flight = 0;
    /// Something waits for the next look; it goes out beside one that waits for an end.
    bool urgent_poll = false;
    /// Numbers up to which ends were taken in that are not durable yet.
    std::set<std::uint64_t> unstored_ends{};
    /// Ends of jobs that may lie in a part which can't be read yet. They are not acknowledged, so
    /// the worker goes on listing them.
    std::set<std::uint64_t> deferred_ends{};
    /// Runs shown there that no known job has.
    std::uint32_t unknown_runs = 0;
    /// Looks without an answer since the last one that had one.
    std::uint32_t unanswered_polls = 0;
    base::time_point answered_at{};
    base::time_point next_poll_at{};
    /// When another life under the same id was found.
    base::time_point incarnation_changed_at{};
    /// Greatest lease end sent, on the worker's clock.
    std::int64_t greatest_lease = 0;
    /// The worker has answered under this leader's token.
    bool fenced = false;
    /// Moments of failed runs, newest last; of different jobs.
    std::map<std::string, base::time_point> failed_jobs{};
    std::uint32_t done_since_failure = 0;
};

} // namespace poplarstile::control
