#include "control/leader.hpp"

#include "base/event_line.hpp"

#include <utility>

/// Crashes of workers, and the runs under which they happened.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"workers"};
/// A worker whose leases have expired in silence, and that has had no registration for this long,
/// has crashed, as far as anybody can tell.
constexpr base::milliseconds gone_for_good{5'000};
/// A worker that crashed less than this time ago may crash again by itself.
constexpr base::milliseconds recent_crash_window{30'000};

} // namespace

std::vector<crashed_run> leader::take_crashed_runs(worker_state& worker)
{
    auto crashed = std::exchange(worker.lost_in_silence, {});
    if (worker.facts.draining) {
        return {};
    }
    ++counters_.worker_crashes;
    const bool crashes_again = crashed_recently(worker);
    crashed_addresses_[worker.facts.address] = ports_.time->now();
    for (auto& run : runs_under_crash(worker, ports_.time->now())) {
        run.evidence.at_start = run.evidence.at_start && !crashes_again;
        crashed.push_back(std::move(run));
    }
    return crashed;
}

bool leader::crashed_recently(const worker_state& worker) const
{
    const auto found = crashed_addresses_.find(worker.facts.address);
    return found != crashed_addresses_.end() &&
           ports_.time->now() - found->second < recent_crash_window;
}

void leader::record_crashes(std::span<const crashed_run> crashed, const std::string& worker)
{
    for (const auto& run : crashed) {
        record_crash(run, worker);
    }
}

void leader::record_crash(const crashed_run& crashed, const std::string& worker)
{
    const auto found = jobs_.find(crashed.job);
    if (found == jobs_.end()) {
        return;
    }
    auto& entry = found->second;
    const auto& ref = crashed.ref;
    const auto task = batch::to_text({crashed.job, ref.occurrence, ref.step, ref.index});
    const bool was_open = entry.state.open();
    const bool counted = entry.state.record_crash(ref, crashed.run, crashed.evidence);
    const auto& history = entry.state.crashes_of(ref);
    log.keep("worker_crashed_under_run", {{"job", crashed.job},
                                          {"task", task},
                                          {"run", crashed.run},
                                          {"worker", worker},
                                          {"alone", crashed.evidence.alone},
                                          {"at_start", crashed.evidence.at_start},
                                          {"counted", counted},
                                          {"crashes", history.total},
                                          {"implicating", history.implicating}});
    if (!counted) {
        return;
    }
    ++counters_.crashed_runs;
    mark_dirty(crashed.job);
    if (was_open && entry.state.failed()) {
        stop_failed_job(entry, task, failure_cause::worker_crashes);
    }
}

void leader::stop_failed_job(job_entry& entry, const std::string& task, failure_cause cause)
{
    const bool by_crashes = cause == failure_cause::worker_crashes;
    log.warning("job_failed", {{"job", entry.state.id()},
                               {"task", task},
                               {"cause", by_crashes ? "worker_crashes" : "failed_runs"}});
    counters_.jobs_failed_by_crashes += by_crashes ? 1 : 0;
    stop_job(entry, stop_reason::failed);
}

void leader::settle_silent_losses(worker_state& worker)
{
    if (worker.facts.draining) {
        worker.lost_in_silence.clear();
    }
    // While the directory is away a registration may be missing for want of a store to renew it at.
    const bool gone = !worker.listed && ports_.time->now() - worker.unlisted_at >= gone_for_good &&
                      directory_served_for(gone_for_good);
    if (worker.lost_in_silence.empty() || !gone) {
        return;
    }
    for (auto& lost : std::exchange(worker.lost_in_silence, {})) {
        // It may also be cut off for good, so nothing implicates the run.
        lost.evidence = {};
        record_crash(lost, worker.facts.life.worker);
    }
}

} // namespace poplarstile::control
