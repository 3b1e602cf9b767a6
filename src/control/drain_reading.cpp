#include "control/drain_reading.hpp"

namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds read_interval{150};

} // namespace

drain_reading::drain_reading(base::milliseconds bound, base::time_point elected_at)
    : bound_{bound}, elected_at_{elected_at}
{
}

bool drain_reading::is_due(base::time_point now, std::optional<base::time_point> confirmed_at) const
{
    if (under_way_ || (sent_at_ && now - *sent_at_ < read_interval)) {
        return false;
    }
    return !has_read_ || !confirmed_at || now - *confirmed_at > bound_ / 2;
}

void drain_reading::begin(base::time_point now)
{
    under_way_ = true;
    sent_at_ = now;
}

void drain_reading::finish(bool served)
{
    under_way_ = false;
    has_read_ = has_read_ || (served && sent_at_ && *sent_at_ >= elected_at_);
}

} // namespace poplarstile::control
