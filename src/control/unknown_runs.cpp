#include "control/unknown_runs.hpp"

#include <algorithm>

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

unknown_run& unknown_runs::expect(const listed_run& run, const batch::resources& need,
                                  base::time_point now, base::time_point until)
{
    auto& expected = show(run, need, now);
    expected.may_begin_until = std::max(expected.may_begin_until, until);
    return expected;
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
        const auto& run = shown.second;
        return !list.running.contains(shown.first) && run.shown_at < list.sent &&
               run.may_begin_until < list.sent;
    });
}

void unknown_runs::clear()
{
    runs_.clear();
    unreadable_at_.reset();
}

} // namespace poplarstile::control
