#include "control/worker_state.hpp"

#include <algorithm>
#include <array>

namespace poplarstile::control
{

std::string_view name_of(stop_reason why)
{
    static constexpr std::array<std::string_view, 6> names{"none",        "cancelled", "reclaimed",
                                                           "gang_broken", "failed",    "moved"};
    return names.at(static_cast<std::size_t>(why));
}

bool belongs_to_current_incarnation(const live_run& run)
{
    return run.listed && run.sends <= 1;
}

void record_clock(worker_state& worker, const order_sending& sent, std::int64_t worker_ms,
                  base::time_point received)
{
    if (worker.facts.life.started_at != sent.incarnation) {
        return;
    }
    worker.clock.observe(worker_ms, sent.at, received);
    worker.incarnation_uncertain = worker.incarnation_uncertain || worker_ms < worker.newest_clock;
    worker.newest_clock = std::max(worker.newest_clock, worker_ms);
}

bool is_within_capacity(const worker_state& worker)
{
    return worker.used.fits(worker.facts.capacity);
}

} // namespace poplarstile::control
