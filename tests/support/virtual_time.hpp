#pragma once

#include "base/timers.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace poplarstile::tests
{

/// A clock that tests move by hand. Actions run in the order of their due times, and of their
/// arrival where those are the same.
class virtual_time
{
public:
    virtual_time()
    {
        timers_.now = [this] { return now_; };
        timers_.unix_ms = [this] {
            return unix_start_ms +
                   std::chrono::duration_cast<base::milliseconds>(now_.time_since_epoch()).count();
        };
        timers_.after = [this](base::milliseconds delay, std::function<void()> action) {
            at(now_ + delay, std::move(action));
        };
    }
    virtual_time(const virtual_time&) = delete;
    virtual_time& operator=(const virtual_time&) = delete;

    [[nodiscard]] const base::timers& timers() const
    {
        return timers_;
    }
    [[nodiscard]] base::time_point now() const
    {
        return now_;
    }
    [[nodiscard]] std::int64_t now_ms() const
    {
        return std::chrono::duration_cast<base::milliseconds>(now_.time_since_epoch()).count();
    }

    void at(base::time_point when, std::function<void()> action)
    {
        waiting_.emplace(std::pair{when, ++sequence_}, std::move(action));
    }
    void after(base::milliseconds delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs everything that is due within the span.
    void run_for(base::milliseconds span)
    {
        const auto until = now_ + span;
        while (!waiting_.empty() && waiting_.begin()->first.first <= until) {
            auto next = waiting_.extract(waiting_.begin());
            now_ = next.key().first;
            next.mapped()();
        }
        now_ = until;
    }

    /// Runs until the condition holds or the span is over; tells whether it holds.
    bool run_until(const std::function<bool()>& holds, base::milliseconds span)
    {
        const auto until = now_ + span;
        while (!holds() && now_ < until) {
            run_for(base::milliseconds{1});
        }
        return holds();
    }

    static constexpr std::int64_t unix_start_ms = 1'790'000'000'000;

private:
    base::timers timers_{};
    base::time_point now_{std::chrono::seconds{100}};
    std::uint64_t sequence_ = 0;
    std::map<std::pair<base::time_point, std::uint64_t>, std::function<void()>> waiting_{};
};

} // namespace poplarstile::tests
