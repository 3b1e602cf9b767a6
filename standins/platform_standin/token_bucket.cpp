#include "standins/platform_standin/token_bucket.hpp"

#include <algorithm>

namespace poplarstile::standins::platform_standin
{

bool token_bucket::take(base::microseconds now)
{
    const std::chrono::duration<double> passed = now - filled_at_;
    tokens_ = std::min(per_second_, tokens_ + passed.count() * per_second_);
    filled_at_ = now;
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

} // namespace poplarstile::standins::platform_standin
