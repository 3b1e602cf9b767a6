#pragma once

#include "base/time.hpp"

#include <atomic>
#include <functional>
#include <future>
#include <thread>
#include <vector>

namespace poplarstile::tests
{

/// Callers that send one request after another and don't stop when they are told to go elsewhere.
class persistent_callers
{
public:
    /// Sends request `number` of a caller; false when it was sent and got no answer.
    using send_function = std::function<bool(int caller, int number)>;

    persistent_callers(int callers, send_function send) : send_{std::move(send)}
    {
        calling_.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller) {
            calling_.push_back(
                std::async(std::launch::async, [this, caller] { send_requests(caller); }));
        }
    }

    /// Stops the callers and returns how many requests got no answer.
    [[nodiscard]] int stop()
    {
        stopping_ = true;
        calling_.clear();
        return unanswered_;
    }

private:
    static constexpr base::milliseconds pause{10};

    void send_requests(int caller)
    {
        for (int number = 0; !stopping_; ++number) {
            unanswered_ += send_(caller, number) ? 0 : 1;
            std::this_thread::sleep_for(pause);
        }
    }

    send_function send_;
    std::atomic<bool> stopping_ = false;
    std::atomic<int> unanswered_ = 0;
    std::vector<std::future<void>> calling_;
};

} // namespace poplarstile::tests
