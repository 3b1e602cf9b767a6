#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace poplarstile::standins
{

/// Runs functions at given times, one after another, on one thread.
class timer_thread
{
public:
    using clock = std::chrono::steady_clock;

    timer_thread();
    ~timer_thread();
    timer_thread(const timer_thread&) = delete;
    timer_thread& operator=(const timer_thread&) = delete;

    /// Calls `action` at `due` or soon after; dropped when stopped before.
    void at(clock::time_point due, std::function<void()> action);

    /// Drops what waits and joins the thread; later calls of `at` do nothing.
    void stop();

private:
    void run();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<clock::time_point, std::function<void()>> waiting_;
    bool stopped_ = false;
    std::thread thread_;
};

} // namespace poplarstile::standins
