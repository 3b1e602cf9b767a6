#include "standins/worker_standin/usage_history.hpp"

namespace poplarstile::standins::worker_standin
{

void usage_history::add(const usage_sample& sample)
{
    samples_.push_back(sample);
    drop_old(sample.at);
}

usage_sample usage_history::lagging(base::time_point now)
{
    drop_old(now);
    if (samples_.empty() || samples_.front().at > now - lag_) {
        return {now - lag_, 0, 0};
    }
    return samples_.front();
}

void usage_history::drop_old(base::time_point now)
{
    while (samples_.size() > 1 && samples_.at(1).at <= now - lag_) {
        samples_.pop_front();
    }
}

} // namespace poplarstile::standins::worker_standin
