#include "control/drain_log.hpp"

#include <chrono>

namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds interval{3'000};

base::milliseconds age_of(base::time_point since, base::time_point now)
{
    return std::chrono::duration_cast<base::milliseconds>(now - since);
}

} // namespace

drain_lines drain_log::update(const drained_since& drained, base::time_point now)
{
    drain_lines lines;
    for (const auto& [name, since] : drained) {
        if (!known_.contains(name)) {
            lines.drained.push_back({name, age_of(since, now)});
        }
    }
    for (const auto& [name, since] : known_) {
        if (!drained.contains(name)) {
            lines.restored.push_back({name, age_of(since, now)});
        }
    }
    if (!lines.drained.empty() || !lines.restored.empty()) {
        known_ = drained;
    }
    if (drained.empty()) {
        progress_at_ = now;
    } else if (now - progress_at_ >= interval) {
        progress_at_ = now;
        for (const auto& [name, since] : drained) {
            lines.in_progress.push_back({name, age_of(since, now)});
        }
    }
    return lines;
}

bool drain_log::may_log_old_view(base::time_point now)
{
    if (now - old_view_at_ < interval) {
        return false;
    }
    old_view_at_ = now;
    return true;
}

} // namespace poplarstile::control
