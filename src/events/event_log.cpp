#include "events/event_log.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::events
{
namespace
{

constexpr std::int64_t us_per_ms = 1'000;

bool concerns(const event& kept, std::optional<std::string_view> subject)
{
    return !subject || kept.subject == *subject || kept.cause == *subject;
}

} // namespace

base::result<std::unique_ptr<event_log>> event_log::create(std::string process,
                                                           std::size_t capacity)
{
    if (capacity == 0) {
        return base::error{.code = base::error_code::operator_argument_invalid,
                           .place = "event_log.capacity",
                           .detail = "expected at least 1"};
    }
    return std::unique_ptr<event_log>{new event_log{std::move(process), capacity}};
}

event_log::event_log(std::string process, std::size_t capacity)
    : process_{std::move(process)}, events_{capacity}
{
}

hlc_stamp event_log::append(observation seen, std::int64_t wall_us)
{
    const std::lock_guard lock{mutex_};
    const auto stamp = clock_.tick(wall_us / us_per_ms);
    if (events_.full()) {
        ++dropped_;
    }
    events_.push_back({.seq = ++last_seq_,
                       .hlc = stamp,
                       .wall_us = wall_us,
                       .process = process_,
                       .part = std::move(seen.part),
                       .kind = std::move(seen.kind),
                       .subject = std::move(seen.subject),
                       .cause = std::move(seen.cause),
                       .detail = std::move(seen.detail)});
    return stamp;
}

event_page event_log::read_after(std::uint64_t seq, std::optional<std::string_view> subject,
                                 std::size_t limit) const
{
    const std::lock_guard lock{mutex_};
    event_page page{.dropped = dropped_};
    auto next = std::ranges::upper_bound(events_, seq, {}, &event::seq);
    for (; next != events_.end() && page.events.size() < limit; ++next) {
        if (concerns(*next, subject)) {
            page.events.push_back(*next);
        }
    }
    return page;
}

std::uint64_t event_log::dropped() const
{
    const std::lock_guard lock{mutex_};
    return dropped_;
}

hybrid_logical_clock& event_log::clock()
{
    return clock_;
}

} // namespace poplarstile::events
