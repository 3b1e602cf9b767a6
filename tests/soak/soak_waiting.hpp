#pragma once

#include "soak/soak_callers.hpp"
#include "soak/soak_site.hpp"

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace poplarstile::soak
{

/// What the workers of a site tell at one moment.
struct site_sight {
    struct room {
        batch::resources capacity{};
        batch::resources used{};
    };
    /// Of the workers that take work.
    std::vector<room> workers{};
    /// Tasks at work, without those that are being stopped.
    std::set<std::string> running{};
    /// Tasks that have ended as done.
    std::set<std::string> done{};
};

/// Finds work that is left waiting beside free room: a job that has nothing running though a task's
/// turn has come, while the workers have room for the task (or its whole gang) twice over, wherever
/// it lies, and less than half of their capacity is in use.
class waiting_judge
{
public:
    using clock = std::chrono::steady_clock;

    /// The platform's rule allows 3 s. The margin covers that our view lags behind by a poll, and
    /// that a lease of 6 s of a worker that was lost just before the last fault may have to end.
    static constexpr base::milliseconds longest_wait{5'000};

    /// What was seen at `at`. `owed` are the accepted jobs that nobody cancelled.
    void observe(clock::time_point at, const site_sight& seen,
                 const std::map<std::string, job_script>& owed);

    /// One line for each job of `owed` that waited for longer than `longest_wait`.
    [[nodiscard]] std::vector<std::string>
    violations(const std::map<std::string, job_script>& owed) const;

private:
    struct open_wait {
        clock::time_point since{};
        base::milliseconds longest{0};
        std::string longest_text{};
        bool waits = false;
    };
    std::map<std::string, open_wait> waits_{};
};

/// Watches a site for waiting work from now on; begins to judge when the last fault has been over
/// for `calm_before`.
class waiting_watch
{
public:
    waiting_watch(soak_site& site, caller_crowd& callers);
    ~waiting_watch();
    waiting_watch(const waiting_watch&) = delete;
    waiting_watch& operator=(const waiting_watch&) = delete;

    /// Ends the watch. What was found.
    [[nodiscard]] std::vector<std::string> stop();

private:
    void look();

    soak_site& site_;
    caller_crowd& callers_;
    waiting_judge judge_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

} // namespace poplarstile::soak
