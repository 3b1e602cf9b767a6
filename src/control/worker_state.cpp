#include "control/worker_state.hpp"

#include <algorithm>
#include <array>

namespace poplarstile::control
{
namespace
{

/// A crash this soon after a run's start may have been caused by the start. It has to cover a poll
/// that waits at the worker while the worker crashes.
constexpr base::milliseconds start_window{3'000};
/// A run that has worked for this long is not suspected for what happened before.
constexpr base::milliseconds long_work{60'000};

/// True when the start was sent only after the worker had fallen silent: the run never began, or
/// in a later incarnation.
bool sent_in_silence(const live_run& run, const worker_state& worker, base::time_point silent_since)
{
    return worker.unanswered_polls > 0 && run.departed_starts > 0 &&
           run.first_departed_at >= silent_since;
}

batch::crash_evidence evidence_of(const live_run& run, base::time_point silent_since)
{
    batch::crash_evidence evidence;
    // The start of an adopted run was sent by an earlier leader at an unknown time.
    // A start without an answer may never have reached the worker.
    const bool start_known = run.sends > 0 && run.order == order_state::accepted;
    evidence.at_start = start_known && silent_since - run.first_departed_at <= start_window;
    evidence.after_long_work =
        run.order == order_state::accepted && silent_since - run.accepted_at >= long_work;
    return evidence;
}

} // namespace

std::string_view name_of(stop_reason why)
{
    static constexpr std::array<std::string_view, 7> names{
        "none", "cancelled", "reclaimed", "gang_broken", "failed", "moved", "evicted"};
    return names.at(static_cast<std::size_t>(why));
}

bool has_departed(const live_run& run)
{
    const bool sent_by_earlier_leader = run.sends == 0 && run.order != order_state::unsent;
    return sent_by_earlier_leader || run.departed_starts > 0 || run.order == order_state::accepted;
}

bool belongs_to_current_incarnation(const live_run& run)
{
    return run.listed && run.sends <= 1;
}

void note_unreached(worker_state& worker, base::time_point since, base::time_point now)
{
    worker.silent_since = worker.unanswered_polls > 0 ? worker.silent_since : since;
    worker.unanswered_polls = std::max(worker.unanswered_polls, 1U);
    worker.urgent_poll = true;
    worker.next_poll_at = now;
}

void count_unanswered_poll(worker_state& worker, const unanswered_poll& poll)
{
    if (worker.unanswered_polls == 0) {
        worker.silent_since = poll.given_up;
    }
    ++worker.unanswered_polls;
    if (!worker.listed && poll.sent >= worker.unlisted_at) {
        auto& departure = worker.departure;
        ++departure.unanswered_polls;
        departure.connection_refused = departure.connection_refused || poll.refused;
    }
}

std::vector<crashed_run> runs_under_crash(const worker_state& worker, base::time_point now)
{
    const auto silent_since = worker.unanswered_polls > 0 ? worker.silent_since : now;
    std::vector<crashed_run> crashed;
    for (const auto& [task, run] : worker.runs) {
        const bool may_have_begun = has_departed(run) && !run.taken_by_later_incarnation &&
                                    !sent_in_silence(run, worker, silent_since);
        if (may_have_begun) {
            crashed.push_back({run.job, run.ref, run.run, evidence_of(run, silent_since)});
        }
    }
    const bool one_job = std::ranges::all_of(
        crashed, [&crashed](const crashed_run& run) { return run.job == crashed.front().job; });
    for (auto& run : crashed) {
        run.evidence.alone = one_job;
    }
    return crashed;
}

bool is_of_later_incarnation(const worker_state& worker, const order_sending& sent,
                             std::int64_t worker_ms)
{
    return worker.clock.known() && worker_ms < worker.clock.earliest_reading(sent.at);
}

void record_clock(worker_state& worker, const order_sending& sent, std::int64_t worker_ms,
                  base::time_point received)
{
    if (worker.facts.life.started_at != sent.incarnation) {
        return;
    }
    worker.clock.observe(worker_ms, sent.at, received);
    worker.incarnation_uncertain = worker.incarnation_uncertain || worker_ms < worker.newest_clock;
    worker.newest_clock = std::max(worker.newest_clock, worker_ms);
}

} // namespace poplarstile::control
