#pragma once

#include "fleet/worker_orders.hpp"
#include "standins/site_standin/job_script.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarstile::standins::site_standin
{

/// Once a task has crashed so many workers, it is started only so many times more.
constexpr std::uint32_t crashes_that_bound = 3;
constexpr std::uint32_t starts_after_crashes = 2;

/// Holds what the workers saw against what the scheduler promises: a task whose end is known is not
/// run again, steps keep their order, attempts and crashes are bounded, and only what was handed in
/// is run.
class site_judge
{
public:
    explicit site_judge(std::uint32_t max_attempts) : max_attempts_{max_attempts} {}

    /// What the task's payload says; nothing before its first start.
    [[nodiscard]] const step_script* step_of(const std::string& task) const;

    void started(const fleet::start_order& order);
    void ended(const std::string& worker, const fleet::ended_task& ended);
    void acknowledged(const std::string& worker, const fleet::ended_task& ended);

    /// The task has crashed the worker that ran it.
    void crashed_its_worker(const std::string& task);

    /// The worker's ends that weren't acknowledged can't be known any more: its life is over, or it
    /// was without a lease for a while.
    void forgot_ends(const std::string& worker);

    [[nodiscard]] const std::vector<std::string>& violations() const
    {
        return violations_;
    }
    /// How many starts each job has seen.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& starts() const
    {
        return starts_;
    }
    /// How many workers each job has crashed.
    [[nodiscard]] std::map<std::string, std::uint64_t> crashes() const;
    /// Tasks that have ended as done, known or not.
    [[nodiscard]] const std::set<std::string>& done() const
    {
        return done_;
    }
    /// How many tasks of each job have ended as done.
    [[nodiscard]] std::map<std::string, std::uint64_t> done_tasks() const;

private:
    void check_asked(const fleet::start_order& order, const job_script& script);
    void check_not_done(const std::string& task);
    void check_steps_before(const batch::task_id& task, const step_script& step);
    void check_attempts(const std::string& task);
    void check_crashes(const std::string& task);

    std::uint32_t max_attempts_;
    std::map<std::string, job_script> scripts_{};
    std::map<std::string, std::uint64_t> starts_{};
    /// Tasks that have ended as done, known or not.
    std::set<std::string> done_{};
    std::set<std::string> known_done_{};
    /// Ends as done that aren't acknowledged, by worker.
    std::map<std::string, std::set<std::string>> unacknowledged_{};
    /// By worker, tasks started anew while their end as done there wasn't acknowledged.
    std::map<std::string, std::set<std::string>> started_after_done_{};
    std::map<std::string, std::uint32_t> known_failures_{};
    struct crash_count {
        std::uint32_t crashes = 0;
        std::uint32_t starts_after_limit = 0;
    };
    std::map<std::string, crash_count> crashes_{};
    std::vector<std::string> violations_{};
};

} // namespace poplarstile::standins::site_standin
