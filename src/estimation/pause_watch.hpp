#pragma once

#include "base/time.hpp"

namespace poplarstile::estimation
{

/// Tells whether this process has noticed ends of runs in time. Load pattern: a VM that is
/// suspended for seconds; the runs that ended meanwhile seem to have taken until it went on.
class pause_watch
{
public:
    /// Ends may be noticed this much late without harm to what is learned.
    static constexpr base::milliseconds longest_pause{1'000};

    /// Notes that the process works; called several times within `longest_pause`.
    void note(base::time_point now);

    /// True when there was no pause since then, as far as is known at `now`.
    [[nodiscard]] bool no_pause_since(base::time_point then, base::time_point now) const;

private:
    base::time_point noted_at_{};
    base::time_point paused_until_{};
};

} // namespace poplarstile::estimation
