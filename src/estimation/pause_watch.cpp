#include "estimation/pause_watch.hpp"

namespace poplarstile::estimation
{

void pause_watch::note(base::time_point now)
{
    if (now - noted_at_ > longest_pause) {
        paused_until_ = now;
    }
    noted_at_ = now;
}

bool pause_watch::no_pause_since(base::time_point then, base::time_point now) const
{
    // Ends may be read before the first note after a pause.
    return then >= paused_until_ && now - noted_at_ <= longest_pause;
}

} // namespace poplarstile::estimation
