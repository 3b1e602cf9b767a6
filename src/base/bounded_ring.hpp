#pragma once

#include <boost/circular_buffer.hpp>

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

namespace poplarstile::base
{

/// A bounded queue between threads: many producers, one consumer (a duty).
/// A full ring refuses, so that load shows at the producer and never as unbounded memory.
template <class Message>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : messages_{capacity} {}

    /// Adds a message; false when the ring is full or closed, and `message` is then untouched.
    [[nodiscard]] bool try_push(Message&& message)
    {
        {
            const std::lock_guard lock{mutex_};
            if (closed_ || messages_.full()) {
                return false;
            }
            messages_.push_back(std::move(message));
        }
        available_.notify_one();
        return true;
    }

    /// Waits for room, then adds; false when the ring is closed.
    /// For completions, whose number the consumer itself bounds.
    bool push(Message&& message)
    {
        {
            std::unique_lock lock{mutex_};
            room_.wait(lock, [this] { return closed_ || !messages_.full(); });
            if (closed_) {
                return false;
            }
            messages_.push_back(std::move(message));
        }
        available_.notify_one();
        return true;
    }

    /// Takes the oldest message, waiting until `deadline` at most.
    template <class Clock, class Duration>
    [[nodiscard]] std::optional<Message>
    pop_until(std::chrono::time_point<Clock, Duration> deadline)
    {
        std::optional<Message> taken;
        {
            std::unique_lock lock{mutex_};
            available_.wait_until(lock, deadline, [this] { return closed_ || !messages_.empty(); });
            if (messages_.empty()) {
                return taken;
            }
            taken.emplace(std::move(messages_.front()));
            messages_.pop_front();
        }
        room_.notify_one();
        return taken;
    }

    /// Refuses new messages and wakes every waiter; what is inside can still be taken.
    void close()
    {
        {
            const std::lock_guard lock{mutex_};
            closed_ = true;
        }
        available_.notify_all();
        room_.notify_all();
    }

    [[nodiscard]] bool closed() const
    {
        const std::lock_guard lock{mutex_};
        return closed_;
    }

    [[nodiscard]] std::size_t size() const
    {
        const std::lock_guard lock{mutex_};
        return messages_.size();
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable available_;
    std::condition_variable room_;
    boost::circular_buffer<Message> messages_;
    bool closed_ = false;
};

} // namespace poplarstile::base
