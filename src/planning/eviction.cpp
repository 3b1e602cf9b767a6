#include "planning/eviction.hpp"

#include <algorithm>

namespace poplarstile::planning
{
namespace
{

constexpr double whole_percent = 100.0;
/// Percents are whole numbers and the first of them may count the preparation of a task only.
constexpr std::uint32_t least_percent = 5;
/// A shorter time between two lists gives no rate: the lists come up to this much late.
constexpr base::milliseconds least_span{500};
/// The end of a run has to be reported before its worker leaves.
constexpr base::milliseconds report_time{50};

using milliseconds_as_double = std::chrono::duration<double, std::milli>;

/// Time per percent between two observations; empty when they are too close to each other.
std::optional<milliseconds_as_double> pace_between(const listed_progress& from,
                                                   const listed_progress& to)
{
    if (to.percent < from.percent + least_percent || to.at - from.at < least_span) {
        return std::nullopt;
    }
    return milliseconds_as_double{to.at - from.at} / static_cast<double>(to.percent - from.percent);
}

/// Time per percent by the run's own progress, else by the expected run time.
std::optional<milliseconds_as_double> pace_of(const run_progress& run)
{
    if (run.newest && run.first) {
        if (const auto pace = pace_between(*run.first, *run.newest)) {
            return pace;
        }
    }
    if (run.newest && run.began && !run.resumed) {
        if (const auto pace = pace_between({0, *run.began}, *run.newest)) {
            return pace;
        }
    }
    if (run.run_time <= base::milliseconds{0}) {
        return std::nullopt;
    }
    return milliseconds_as_double{run.run_time} / whole_percent;
}

/// The newest time at which a run's progress is known.
std::optional<listed_progress> known_progress(const run_progress& run)
{
    if (run.newest && run.newest->percent >= least_percent) {
        return run.newest;
    }
    if (run.began) {
        return listed_progress{0, *run.began};
    }
    return run.first;
}

} // namespace

std::optional<base::milliseconds> expected_rest(const run_progress& run, base::time_point now)
{
    const auto pace = pace_of(run);
    const auto known = known_progress(run);
    if (!pace || !known) {
        return std::nullopt;
    }
    const auto left = whole_percent - std::min(whole_percent, static_cast<double>(known->percent));
    const auto rest = *pace * left - milliseconds_as_double{now - known->at};
    return std::chrono::ceil<base::milliseconds>(std::chrono::abs(rest));
}

std::optional<base::time_point> eviction_time(const running_unit& unit, const eviction_times& times,
                                              base::time_point now)
{
    std::optional<base::time_point> leaves_at;
    std::optional<base::milliseconds> rest;
    for (const auto& member : unit.members) {
        if (member.leaves_at) {
            leaves_at = std::min(leaves_at.value_or(*member.leaves_at), *member.leaves_at);
        }
        if (member.rest) {
            rest = std::max(rest.value_or(*member.rest), *member.rest);
        }
    }
    if (!leaves_at || unit.long_running) {
        return std::nullopt;
    }
    if (rest && now + *rest + report_time <= *leaves_at) {
        return std::nullopt;
    }
    const bool only_loses = rest && !unit.checkpoints;
    return only_loses ? now : *leaves_at - times.stop_time - times.margin;
}

} // namespace poplarstile::planning
