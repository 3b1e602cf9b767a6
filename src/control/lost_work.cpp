#include "control/lost_work.hpp"

#include <algorithm>

namespace poplarstile::control
{
namespace
{

using seconds_as_double = std::chrono::duration<double>;

loss_cause cause_of(stop_reason why)
{
    switch (why) {
    case stop_reason::cancelled:
        return loss_cause::cancelled;
    case stop_reason::reclaimed:
        return loss_cause::preempted;
    case stop_reason::gang_broken:
        return loss_cause::gang_aborted;
    case stop_reason::failed:
        return loss_cause::failed;
    case stop_reason::evicted:
        return loss_cause::evicted;
    case stop_reason::none:
    case stop_reason::moved:
        break;
    }
    return loss_cause::other;
}

} // namespace

std::string_view name_of(loss_cause cause)
{
    static constexpr std::array<std::string_view, loss_cause_count> names{
        "preempted", "evicted", "gang_aborted", "worker_lost", "cancelled", "failed", "other"};
    return names.at(static_cast<std::size_t>(cause));
}

std::optional<loss_cause> loss_cause_of(const live_run& run, batch::run_end how)
{
    const bool stopped = run.stopping != stop_reason::none;
    switch (how) {
    case batch::run_end::done:
        return std::nullopt;
    case batch::run_end::failed:
        return loss_cause::failed;
    case batch::run_end::lost:
    case batch::run_end::lease_expired:
        // A stop that was not acknowledged has not ended the run.
        return stopped && run.stop_acknowledged ? cause_of(run.stopping) : loss_cause::worker_lost;
    case batch::run_end::gang_aborted:
    case batch::run_end::gang_start_timeout:
        return stopped ? cause_of(run.stopping) : loss_cause::gang_aborted;
    case batch::run_end::stopped:
        break;
    }
    return cause_of(run.stopping);
}

double lost_work_of(const live_run& run, const run_ending& ending,
                    std::optional<base::time_point> saved_at)
{
    if (run.order != order_state::accepted || ending.saved_at_end) {
        return 0.0;
    }
    const auto from = std::max(run.accepted_at, saved_at.value_or(run.accepted_at));
    const bool with_worker = ending.how == batch::run_end::lost;
    const auto until = with_worker ? std::min(ending.worker_answered_at, ending.at) : ending.at;
    return std::max(seconds_as_double{until - from}.count(), 0.0) * batch::core_weight(run.need);
}

} // namespace poplarstile::control
