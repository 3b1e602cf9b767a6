#include "store/store_clock_reading.hpp"

#include <utility>

namespace poplarstile::store
{

void store_clock_reading::note(std::optional<base::store_time> told, base::time_point received)
{
    if (told && (!told_ || *told > *told_)) {
        told_ = told;
        received_ = received;
    }
}

std::optional<base::store_time> store_clock_reading::estimate(base::time_point now) const
{
    if (!told_) {
        return std::nullopt;
    }
    return *told_ + std::chrono::duration_cast<base::milliseconds>(now - received_);
}

namespace
{

/// A call of the store whose replies are noted.
template <class Request, class Reply>
auto noting_call(const std::function<void(Request, std::function<void(Reply)>)>& call,
                 const base::timers& time, const std::shared_ptr<store_clock_reading>& reading)
{
    return [call, &time, reading](Request request, std::function<void(Reply)> handler) {
        call(std::move(request), [&time, reading, handler = std::move(handler)](Reply reply) {
            reading->note(reply.store_now, time.now());
            handler(std::move(reply));
        });
    };
}

} // namespace

row_store with_clock_reading(const row_store& rows, const base::timers& time,
                             const std::shared_ptr<store_clock_reading>& reading)
{
    row_store noting;
    noting.commit = noting_call(rows.commit, time, reading);
    noting.read = noting_call(rows.read, time, reading);
    noting.follow = noting_call(rows.follow, time, reading);
    noting.away = rows.away;
    return noting;
}

} // namespace poplarstile::store
