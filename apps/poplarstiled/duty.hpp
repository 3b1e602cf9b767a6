#pragma once

#include "base/bounded_ring.hpp"
#include "base/time.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>

namespace poplarstile::daemon
{

/// A thread that owns one job of the daemon: it takes typed messages from its bounded ring, one
/// after the other, and is woken at a fixed interval besides.
template <class Message>
class duty
{
public:
    using message_handler = std::function<void(Message&&)>;
    using tick_handler = std::function<void()>;

    duty(std::size_t capacity, base::milliseconds tick_interval)
        : ring_{capacity}, tick_interval_{tick_interval}
    {
    }

    ~duty()
    {
        stop();
    }
    duty(const duty&) = delete;
    duty& operator=(const duty&) = delete;

    /// Both handlers are called on the duty's own thread only.
    void start(message_handler on_message, tick_handler on_tick)
    {
        thread_ = std::thread{[this, on_message = std::move(on_message),
                               on_tick = std::move(on_tick)] { run(on_message, on_tick); }};
    }

    /// Ends the thread after the messages that are inside.
    void stop()
    {
        ring_.close();
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    /// False when the ring is full: new work is refused at the edge.
    [[nodiscard]] bool try_post(Message message)
    {
        return ring_.try_push(std::move(message));
    }

    /// Waits for room; for answers to the duty's own calls.
    void post(Message message)
    {
        ring_.push(std::move(message));
    }

    [[nodiscard]] std::size_t backlog() const
    {
        return ring_.size();
    }

private:
    void run(const message_handler& on_message, const tick_handler& on_tick)
    {
        auto next_tick = std::chrono::steady_clock::now() + tick_interval_;
        while (true) {
            auto message = ring_.pop_until(next_tick);
            if (message) {
                on_message(std::move(*message));
            } else if (ring_.closed()) {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            if (now >= next_tick) {
                on_tick();
                next_tick = now + tick_interval_;
            }
        }
    }

    base::bounded_ring<Message> ring_;
    base::milliseconds tick_interval_;
    std::thread thread_;
};

/// The newest value of something that one duty writes and others read.
template <class Value>
class published
{
public:
    void set(Value value)
    {
        auto next = std::make_shared<const Value>(std::move(value));
        const std::lock_guard lock{mutex_};
        value_ = std::move(next);
    }

    /// Never null.
    [[nodiscard]] std::shared_ptr<const Value> get() const
    {
        const std::lock_guard lock{mutex_};
        return value_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Value> value_ = std::make_shared<const Value>();
};

} // namespace poplarstile::daemon
