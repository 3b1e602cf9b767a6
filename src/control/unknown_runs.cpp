#include "control/unknown_runs.hpp"

namespace poplarstile::control
{

unknown_run& unknown_runs::show(const listed_run& run, const std::optional<batch::resources>& need,
                                base::time_point received)
{
    const auto [position, added] = runs_.try_emplace(run);
    auto& shown = position->second;
    if (added) {
        shown.first_shown_at = received;
    }
    if (need) {
        shown.need = need;
    }
    shown.shown_at = received;
    return shown;
}

void unknown_runs::settle(const worker_list& list)
{
    if (list.unreadable > 0) {
        unreadable_at_ = list.received;
        return;
    }
    if (unreadable_at_ && *unreadable_at_ < list.sent) {
        unreadable_at_.reset();
    }
    if (!list.complete) {
        return;
    }
    std::erase_if(runs_, [&list](const auto& shown) {
        return !list.running.contains(shown.first) && shown.second.shown_at < list.sent;
    });
}

void unknown_runs::clear()
{
    runs_.clear();
    unreadable_at_.reset();
}

} // namespace poplarstile::control
