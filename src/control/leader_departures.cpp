#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Workers that do not answer: whether they have left, and when nothing of theirs runs any more.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"workers"};
/// Polls without an answer after which a draining worker without registration has left. One may be
/// a broken connection.
constexpr std::uint32_t unanswered_when_gone = 2;

/// How long a worker with the slowest clock may take for a span of its own clock.
base::microseconds longest_on_worker(base::milliseconds span)
{
    return std::chrono::ceil<base::microseconds>(span / fleet::slowest_clock_rate);
}

} // namespace

std::optional<base::time_point> leader::exclusive_since() const
{
    std::vector<base::time_point> acquired;
    for (const auto& part : parts_) {
        if (part.journal) {
            acquired.push_back(part.acquired_at);
        }
    }
    const auto needed = parts_.size() - parts_that_extend_leases(parts_.size()) + 1;
    if (acquired.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(acquired);
    return acquired.at(needed - 1);
}

base::time_point leader::earlier_leases_expired_at(const worker_state& worker) const
{
    auto expired = base::time_point::max();
    if (const auto since = exclusive_since()) {
        expired = *since + longest_on_worker(options_.lease_horizon);
    }
    if (worker.fenced) {
        expired = std::min(expired, worker.fenced_at + longest_on_worker(options_.longest_lease));
    }
    return expired;
}

base::time_point leader::leases_expired_at(const worker_state& worker) const
{
    // Leases that an earlier leader may have granted, or this one to an earlier incarnation.
    const auto granted_before =
        std::max(earlier_leases_expired_at(worker),
                 worker.incarnation_changed_at + longest_on_worker(options_.lease_horizon));
    if (!worker.clock.known()) {
        return granted_before;
    }
    return std::max(granted_before, worker.clock.surely_passed(worker.greatest_lease));
}

bool leader::has_deregistered(const worker_state& worker) const
{
    // A draining worker serves on, at times for long, and its registration may go for want of
    // heartbeats that reach the store. A refused connection is no sign either: a proxy or a
    // firewall on the way refuses too. An answer since then shows that it is still there.
    const bool silent = worker.unanswered_polls > 0 && worker.answered_at <= worker.unlisted_at;
    if (worker.listed || !worker.facts.draining || !worker.fenced || !silent) {
        return false;
    }
    return worker.departure.removed_before_expiry &&
           worker.departure.unanswered_polls >= unanswered_when_gone;
}

void leader::end_expired_runs(worker_state& worker)
{
    const bool unreachable = worker.unanswered_polls > 0 || worker.facts.address.empty();
    if (!unreachable || (worker.runs.empty() && worker.unknown.empty())) {
        return;
    }
    const bool deregistered = has_deregistered(worker);
    if (!deregistered && ports_.time->now() < leases_expired_at(worker)) {
        return;
    }
    log.warning(deregistered ? "worker_left" : "lease_of_worker_over",
                {{"worker", worker.facts.life.worker},
                 {"runs", worker.runs.size()},
                 {"refused", worker.departure.connection_refused},
                 {"unanswered_polls", worker.unanswered_polls},
                 {"silent_ms", base::milliseconds_between(std::max(worker.answered_at, began_),
                                                          ports_.time->now())}});
    worker.unknown.clear();
    std::vector<crashed_run> crashed;
    if (worker.displaced) {
        // Another worker has taken its address, so it does not come back to show how it ended.
        crashed = take_crashed_runs(worker);
    } else if (!deregistered) {
        std::ranges::move(runs_under_crash(worker, ports_.time->now()),
                          std::back_inserter(worker.lost_in_silence));
    }
    std::vector<std::string> expired;
    for (const auto& [task, run] : worker.runs) {
        expired.push_back(task);
    }
    for (const auto& task : expired) {
        end_run(worker, task, batch::run_end::lost, {},
                deregistered ? run_evidence::worker_left : run_evidence::lease_expired);
    }
    record_crashes(crashed, worker.facts.life.worker);
}

} // namespace poplarstile::control
