#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <optional>
#include <span>

/// Whether work on workers that are about to leave is stopped, and when. Load pattern: a part of
/// the workers is taken away at short notice while long gangs run; without a stop, the end of a
/// member there is known only when its worker's lease is over, and its gang starts again only then.
namespace poplarstile::planning
{

/// Progress as a worker has listed it.
struct listed_progress {
    std::uint32_t percent = 0;
    base::time_point at{};
};

/// What is known of the progress of one run.
struct run_progress {
    /// When the run began; empty when an earlier leader started it.
    std::optional<base::time_point> began{};
    /// It started from a checkpoint, so that its percent includes earlier progress.
    bool resumed = false;
    std::optional<listed_progress> first{};
    /// As it was when the percent last changed.
    std::optional<listed_progress> newest{};
    /// Expected time of a run from its beginning; 0 when it is not known.
    base::milliseconds run_time{0};
};

/// The time that a run is expected to go on for; empty when nothing is known. A run that is late is
/// expected to take as long again as it is late.
[[nodiscard]] std::optional<base::milliseconds> expected_rest(const run_progress& run,
                                                              base::time_point now);

/// One run of a unit of running work.
struct running_member {
    /// When its worker leaves; empty when it stays, or does not say.
    std::optional<base::time_point> leaves_at{};
    std::optional<base::milliseconds> rest{};
};

/// Running work that ends together: all members of a gang, or one task.
struct running_unit {
    std::span<const running_member> members{};
    bool checkpoints = false;
    bool long_running = false;
};

/// How long before a worker leaves a stop has to be sent there.
struct eviction_times {
    /// Time that a stop takes at a worker.
    base::milliseconds stop_time{0};
    /// Time for the order, for the report of the end, and until the decision is made again.
    base::milliseconds margin{0};
};

/// The time at which a unit is to be stopped, which may have passed; empty when it is left alone.
/// Work that is expected to end in time is left alone, also work whose worker has no time to leave.
/// Other work is stopped at once when it keeps no checkpoints, since it can only lose more, and
/// otherwise just before the first of its workers leaves, since its stop saves a checkpoint.
[[nodiscard]] std::optional<base::time_point>
eviction_time(const running_unit& unit, const eviction_times& times, base::time_point now);

} // namespace poplarstile::planning
