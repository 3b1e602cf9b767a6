#pragma once

#include "scheduling/scheduler.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

/// A scheduler with workers and table that accept everything, in memory and without a network.
namespace poplarstile::bench::capacity
{

/// Accelerators of each worker, and workers of each rack, as in the deployments.
inline constexpr std::uint32_t accelerators_per_worker = 8;
inline constexpr std::size_t workers_per_rack = 8;

/// A queued job of `members` gang members with one accelerator each.
[[nodiscard]] scheduling::stored_job make_job(std::size_t number, std::uint32_t members);

class fake_domain
{
public:
    /// Gains the lease; every worker has reported once and holds no tasks.
    explicit fake_domain(std::size_t workers);

    /// Offers jobs of `members` gang members with one accelerator each, and sees them started.
    void start_jobs(std::size_t jobs, std::uint32_t members);

    /// Jobs that no free place is left for, all at once.
    void queue_jobs(std::size_t jobs);

    /// One report of every worker, without tasks.
    void report_all();

    /// One report of the first worker, with `tasks` tasks that the scheduler knows; answers the
    /// heartbeat that is open to it.
    [[nodiscard]] scheduling::event report_with_tasks(std::size_t tasks) const;

    /// Lets a heartbeat interval pass, so that the scheduler asks every worker.
    void ask_all();

    /// Gives an event to the scheduler and drops its actions.
    void decide(scheduling::event happened);

    [[nodiscard]] const scheduling::scheduler& scheduler() const
    {
        return scheduler_;
    }
    [[nodiscard]] const std::string& worker_id(std::size_t index) const
    {
        return workers_.at(index).id;
    }

private:
    void settle(scheduling::actions actions);
    void note_rounds(const scheduling::actions& actions);
    [[nodiscard]] std::uint64_t round_of(const std::string& worker) const;

    std::vector<scheduling::worker_description> workers_;
    scheduling::scheduler scheduler_;
    base::time_point now_{};
    std::size_t next_job_ = 0;
    /// Round of the heartbeat that is open to each worker.
    std::unordered_map<std::string, std::uint64_t> rounds_;
};

} // namespace poplarstile::bench::capacity
