#include "standins/common/timer_thread.hpp"

#include <utility>

namespace poplarstile::standins
{

timer_thread::timer_thread() : thread_{[this] { run(); }} {}

timer_thread::~timer_thread()
{
    stop();
}

void timer_thread::at(clock::time_point due, std::function<void()> action)
{
    {
        const std::lock_guard lock{mutex_};
        if (stopped_) {
            return;
        }
        waiting_.emplace(due, std::move(action));
    }
    changed_.notify_one();
}

void timer_thread::stop()
{
    {
        const std::lock_guard lock{mutex_};
        stopped_ = true;
    }
    changed_.notify_one();
    if (thread_.joinable()) {
        thread_.join();
    }
    waiting_.clear();
}

void timer_thread::run()
{
    std::unique_lock lock{mutex_};
    while (!stopped_) {
        if (waiting_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto due = waiting_.begin()->first;
        if (clock::now() < due) {
            changed_.wait_until(lock, due);
            continue;
        }
        auto next = waiting_.extract(waiting_.begin());
        lock.unlock();
        next.mapped()();
        next = {};
        lock.lock();
    }
}

} // namespace poplarstile::standins
