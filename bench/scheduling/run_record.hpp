#pragma once

#include "bench/scheduling/workload.hpp"
#include "scheduling/scheduler.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What a run of a scenario under one policy showed, and the two ways to run one.
namespace poplarstile::bench::scheduling
{

/// A job's times since the start of the run.
struct job_times {
    std::optional<base::milliseconds> started{};
    std::optional<base::milliseconds> ended{};
    poplarstile::scheduling::job_state state = poplarstile::scheduling::job_state::queued;
};

/// The domain at one moment.
struct domain_sample {
    base::milliseconds at{0};
    std::uint64_t free = 0;
    /// Free accelerators that belong to no place for the largest guaranteed shape.
    std::uint64_t stranded = 0;
    /// Guaranteed shapes that could not be had at once.
    std::uint32_t guarantees_short = 0;
    std::uint64_t queued = 0;
};

struct run_record {
    std::string policy{};
    /// One for each job of the scenario, in its order.
    std::vector<job_times> jobs{};
    std::vector<domain_sample> samples{};
    /// Time of each decision on this machine.
    std::vector<float> decision_us{};
    std::uint64_t reclaimed_gangs = 0;
    std::uint64_t lost_accelerator_ms = 0;
};

/// Occupied accelerators by worker, in the order of racks and positions.
struct occupancy {
    struct worker {
        std::string rack{};
        std::uint32_t position = 0;
        bool usable = true;
        std::vector<bool> taken{};
    };
    std::vector<worker> workers{};
};

/// One member of a gang: its worker, and its first accelerator there.
struct first_fit_place {
    std::size_t worker = 0;
    std::uint32_t first = 0;
};

/// The first consecutive workers of one rack on which all members fit, each on an aligned block.
[[nodiscard]] std::optional<std::vector<first_fit_place>> first_fit(const occupancy& domain,
                                                                    const rules::shape& wanted);

/// Free accelerators, and how many of them no place for `wanted` can use.
[[nodiscard]] domain_sample sample_fragmentation(occupancy domain, const rules::shape& wanted);

enum class baseline_kind {
    /// Jobs that do not fit are passed over.
    first_fit,
    /// The first job that does not fit holds up all behind it.
    strict,
};

/// The naive policy: jobs in the order of their arrival, each on the first place that fits.
[[nodiscard]] run_record run_baseline(const scenario& drawn, baseline_kind kind);

/// The product's scheduler, against workers and a table that answer after a short while.
[[nodiscard]] run_record run_scheduler(const scenario& drawn,
                                       const poplarstile::scheduling::scheduler_options& options);

} // namespace poplarstile::bench::scheduling
