#include "batch/crash_history.hpp"

namespace poplarstile::batch
{
namespace
{

/// Crashes after which a task is isolated.
constexpr std::uint32_t isolating_crashes = 2;
/// A task is to blame after this many crashes if enough of them implicate it.
constexpr std::uint32_t min_crashes = 3;
constexpr std::uint32_t min_implicating_crashes = 2;
/// After this many crashes a task is given up whoever caused them. The platform forbids a sixth
/// start of a task whose starts all crash, and a crash may come to be known after the next start.
constexpr std::uint32_t max_crashes = 4;
/// A member of a gang is not given up for crashes under other members before this many of its own.
constexpr std::uint32_t min_own_crashes = 2;

} // namespace

bool count_crash(crash_history& history, std::uint32_t run, const crash_evidence& evidence)
{
    if (run <= history.last_run) {
        return false;
    }
    if (evidence.after_long_work) {
        history = {};
    }
    history.last_run = run;
    ++history.total;
    if (evidence.alone && evidence.at_start) {
        ++history.implicating;
    }
    return true;
}

bool needs_isolation(const crash_history& history)
{
    return history.total >= isolating_crashes;
}

bool is_to_blame(const crash_history& history)
{
    const bool implicated =
        history.total >= min_crashes && history.implicating >= min_implicating_crashes;
    return implicated || history.total >= max_crashes;
}

bool is_to_blame(const crash_history& history, const crash_history& earlier_of_gang)
{
    const bool with_earlier =
        history.total >= min_own_crashes && history.total + earlier_of_gang.total >= max_crashes;
    return with_earlier || is_to_blame(history);
}

} // namespace poplarstile::batch
