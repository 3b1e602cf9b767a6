#pragma once

#include "rules/ruleset.hpp"
#include "scheduling/job.hpp"
#include "scheduling/messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Workloads in virtual time: hardware, rules, jobs and the faults that befall them.
namespace poplarstile::bench::scheduling
{

/// A job, and what is known only to the worker that runs it.
struct planned_job {
    poplarstile::scheduling::job_spec spec{};
    base::milliseconds arrives{0};
    base::milliseconds true_run{0};
    std::optional<base::milliseconds> cancelled_at{};
    /// Its end takes all tasks of its workers with it.
    bool kills_workers = false;
    bool urgent = false;
};

struct rack_loss {
    std::string rack{};
    base::milliseconds at{0};
};

/// Everything that happens to a failure domain in one run.
struct scenario {
    std::string name{};
    double load = 0;
    std::vector<poplarstile::scheduling::worker_description> workers{};
    std::shared_ptr<const rules::ruleset> rules{};
    /// In the order of their arrivals.
    std::vector<planned_job> jobs{};
    /// Workers that fail every task.
    std::set<std::string> failing_workers{};
    std::optional<rack_loss> lost_rack{};
    base::milliseconds arrivals_end{0};
    /// Jobs that have not ended by then count with the time until then.
    base::milliseconds ends{0};
    base::milliseconds worker_heartbeat{500};
    base::milliseconds worker_lease{3'000};

    /// The largest guaranteed shape.
    [[nodiscard]] rules::shape guaranteed_shape() const;
    [[nodiscard]] std::uint64_t accelerators() const;
};

/// Which faults and waves a scenario has besides its steady arrivals.
enum class disturbance { none, small_burst, large_burst, cancel_wave, rack_lost, bad_workers };

struct scenario_request {
    /// `camara`, `utility` or `target`.
    std::string shape{};
    /// Work that arrives as a share of what the hardware can do.
    double load = 0.9;
    disturbance with = disturbance::none;
    std::uint64_t seed = 1;
    base::milliseconds arrivals{600'000};
};

[[nodiscard]] std::string_view to_string(disturbance with);

/// Draws a scenario; the same request gives the same one.
[[nodiscard]] scenario make_scenario(const scenario_request& request);

} // namespace poplarstile::bench::scheduling
