#pragma once

#include "base/time.hpp"
#include "batch/resources.hpp"
#include "planning/ranking.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Whether new work can still be of use to its caller, given the work ahead of it and the usable
/// workers. Load pattern: a burst of bulk work, then a burst of urgent work, with less capacity
/// than both need.
namespace poplarstile::planning
{

/// Cores and accelerators, or the work of one second on each of them.
struct work_amount {
    double cores = 0.0;
    double accelerators = 0.0;

    work_amount& operator+=(const work_amount& other)
    {
        cores += other.cores;
        accelerators += other.accelerators;
        return *this;
    }
    [[nodiscard]] friend work_amount operator*(work_amount amount, double times)
    {
        return {amount.cores * times, amount.accelerators * times};
    }
};

[[nodiscard]] work_amount amount_of(const batch::resources& need);

/// Work of `tasks` tasks of this need and estimate, in core-seconds and accelerator-seconds.
[[nodiscard]] work_amount work_of(const batch::resources& need, std::size_t tasks,
                                  base::milliseconds estimate);

/// What decides whether a job can still be of use to its caller.
struct job_times {
    /// Target time from submission to completion.
    base::milliseconds objective{0};
    /// Longest chain of dependent steps, by the caller's estimates.
    base::milliseconds chain{0};
};

/// Time after submission at which a job must have begun to end before it is of no use, even if its
/// tasks take only the shortest plausible time.
[[nodiscard]] base::milliseconds latest_useful_begin(const job_times& job);

/// Share of one job in the load of the workers.
struct job_load {
    std::string_view queue{};
    std::string_view service{};
    std::string_view workspace{};
    std::uint32_t priority = 0;
    /// Objective of a job of this queue whose estimated length is zero; the shortest there is.
    base::milliseconds shortest_objective{0};
    job_times times{};
    /// Time since it was accepted.
    base::milliseconds age{0};
    /// When the rest of the job is expected to end.
    timeliness expected = timeliness::in_time;
    /// Work of all its tasks.
    work_amount total{};
    /// Work of tasks that are not placed.
    work_amount waiting{};
    /// What the placed tasks occupy, without those that run until their job is cancelled.
    work_amount occupied{};
    /// What placed tasks occupy that run until their job is cancelled.
    work_amount lasting{};
};

/// The load of the workers, summed over all open jobs.
class job_loads
{
public:
    struct queue_sum {
        std::string_view service{};
        std::uint32_t priority = 0;
        base::milliseconds shortest_objective{0};
        /// Waiting work that may still be of use.
        work_amount useful{};
        /// The part of it that is expected to meet its objective. Ranks before the rest.
        work_amount in_time{};
        /// Work accepted in a second, of late.
        work_amount accepted{};
        /// Sum of the latest useful begins of the jobs that have such work, and their number.
        base::milliseconds latest_begins{0};
        std::size_t jobs = 0;
        /// Useful work by workspace, as a weight in core-seconds.
        std::map<std::string_view, double> workspaces{};
    };
    struct service_sum {
        std::map<std::uint32_t, work_amount> occupied_by_priority{};
        work_amount lasting{};
    };

    /// The names in `job` have to remain valid as long as this object.
    void add(const job_load& job);

    [[nodiscard]] const std::map<std::string_view, queue_sum>& queues() const
    {
        return queues_;
    }
    [[nodiscard]] const service_sum* service(std::string_view name) const;

private:
    std::map<std::string_view, queue_sum> queues_{};
    std::map<std::string_view, service_sum> services_{};
};

/// Expected waits in a queue that is short of capacity. A job that can meet its objective ranks
/// before those of its priority that can't: a new job waits for work that is in time, and once it
/// is late itself, for all earlier work and for what is accepted later and still in time.
struct queue_shortage {
    std::string queue{};
    /// Until the useful work ahead of a new job has begun, if nothing else is accepted.
    base::milliseconds wait{0};
    /// The same, counting only work that is expected to meet its objective.
    base::milliseconds in_time_wait{0};
    /// Part of the capacity that is left to late work while new work is accepted as of late, in
    /// thousandths.
    std::uint32_t late_permille = 1'000;
    /// Time after which a job of any length may be accepted.
    base::milliseconds accepts_any_after{0};
    /// Workspaces that have at least their fair share of the work that the queue can still serve in
    /// useful time, the largest first.
    std::vector<std::string> at_fair_share{};
};

/// Use that a workspace makes of the accelerators that are guaranteed to its urgent jobs.
struct guarantee_use {
    std::int64_t guaranteed = 0;
    std::int64_t needed = 0;
};

/// Forecasts the waits of new work from the load, the usable capacity, and the rate at which work
/// was done of late. Load patterns: many workers are taken away under full load; estimates are
/// several times too long.
class capacity_forecast
{
public:
    /// Notes the capacity on which new work may be placed, by service. The largest of the last few
    /// seconds counts, since workers that miss one poll are unusable only for a moment.
    void note_capacity(const std::map<std::string_view, work_amount>& usable, base::time_point now);

    /// Notes work that was completed, by its estimate.
    void note_done(std::string_view service, const work_amount& done, base::time_point now);

    /// The queues in which a job may be hopeless. `guarantees` are by workspace.
    [[nodiscard]] std::vector<queue_shortage>
    shortages(const job_loads& loads, const std::map<std::string_view, guarantee_use>& guarantees,
              base::time_point now);

private:
    struct service_state {
        /// Largest capacity in the current and in the previous span.
        work_amount peak{};
        work_amount earlier_peak{};
        base::time_point span_began{};
        /// Work that was done, decaying.
        work_amount done{};
        base::time_point done_at{};
        /// Work that the usable capacity could have done by estimate, decaying.
        work_amount offered{};
        base::time_point offered_at{};
        /// Occupied capacity by priority, smoothed.
        std::map<std::uint32_t, work_amount> occupied{};
        base::time_point occupied_at{};
    };

    [[nodiscard]] static work_amount rate_of(const service_state& state, const work_amount& lasting,
                                             base::time_point now);
    static void smooth(service_state& state, const job_loads::service_sum& load,
                       base::time_point now);
    /// Fraction of the rate that work of a higher priority leaves to this one.
    [[nodiscard]] static work_amount rate_left(const service_state& state,
                                               const job_loads::service_sum& load,
                                               std::uint32_t priority, const work_amount& rate);

    std::map<std::string, service_state, std::less<>> services_{};
};

/// Time after which a new job has a chance, if it is hopeless now. Empty if it may be accepted.
/// Workspaces are not considered.
[[nodiscard]] std::optional<base::milliseconds> hopeless_for(const queue_shortage& shortage,
                                                             const job_times& job);

/// Spreads the return of callers that are refused together. Load pattern: the callers of a whole
/// site are refused within a second, and would all return at the same moment. `id` identifies the
/// job; the same id has the same place in the spread.
[[nodiscard]] base::milliseconds spread_return(base::milliseconds retry_after, std::string_view id);

} // namespace poplarstile::planning
