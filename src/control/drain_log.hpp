#pragma once

#include "base/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace poplarstile::control
{

/// Drained failure domains with the time at which each was first known to be drained.
using drained_since = std::map<std::string, base::time_point, std::less<>>;

/// What is to be logged of the drained failure domains.
struct drain_lines {
    struct domain {
        std::string name{};
        /// Time since the drain became known.
        base::milliseconds age{0};
    };
    std::vector<domain> drained{};
    std::vector<domain> restored{};
    /// Domains whose remaining runs are logged again.
    std::vector<domain> in_progress{};
};

/// Decides which lines on drained failure domains a leader logs. Decides nothing else.
///
/// Load pattern: many domains are drained and restored in a short time, while the leader looks at
/// them ten times a second.
class drain_log
{
public:
    [[nodiscard]] drain_lines update(const drained_since& drained, base::time_point now);
    /// True when the age of an old view is to be logged.
    [[nodiscard]] bool may_log_old_view(base::time_point now);

private:
    drained_since known_{};
    base::time_point progress_at_{};
    base::time_point old_view_at_{};
};

} // namespace poplarstile::control
