#pragma once

#include "base/timers.hpp"
#include "cluster/cluster_message.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

/// The API frontend of every VM: accepts jobs, reports their status, cancels them, and refuses
/// calls that can't be handled.
namespace poplarstile::frontend
{

/// The statuses of jobs that a VM has received in the leader's heartbeats. The leader sends only
/// stored statuses, so each entry is or was true; a final status stays true.
class job_views
{
public:
    /// `fresh_for`: how long after a heartbeat its non-final statuses count as current.
    /// `max_final`: number of finished jobs to keep.
    job_views(const base::timers& time, base::milliseconds fresh_for, std::size_t max_final);

    /// Records a stored status. A final status is never replaced.
    void note(const cluster::job_view& view);

    /// Applies a heartbeat. Returns false if an earlier one was missed, so that a snapshot is
    /// needed.
    bool apply_heartbeat(const cluster::leader_heartbeat& heartbeat);

    /// Replaces the open jobs by all that the leader knows. Any other open job was reported by an
    /// earlier leader: it has ended if this leader knows all parts (`whole`), else its status is
    /// uncertain.
    void replace_open_jobs(const std::vector<cluster::job_view>& open, bool whole);

    /// Sets the loads that the leader itself knows, on the leader's own VM.
    void set_loads(std::vector<cluster::queue_load> loads, bool whole);

    /// True while the statuses and loads are as current as the leader's heartbeats.
    [[nodiscard]] bool fresh() const;

    /// True if every open job is known here, so that an unknown job id is a new job.
    [[nodiscard]] bool whole() const
    {
        return fresh() && whole_;
    }

    /// True if a job of this id is known to have been accepted, whatever its status is now.
    [[nodiscard]] bool knows(std::string_view job) const;

    /// The status of a job, or nothing if it is unknown, or not final and no longer current.
    [[nodiscard]] std::optional<cluster::job_view> find(std::string_view job) const;

    /// The load of a queue, or nothing if there was no recent heartbeat.
    [[nodiscard]] std::optional<cluster::queue_load> load_of(std::string_view queue) const;

private:
    void retain_final(const std::string& job);

    const base::timers& time_;
    base::milliseconds fresh_for_;
    std::size_t max_final_;
    std::unordered_map<std::string, cluster::job_view> views_{};
    /// Open jobs that only an earlier leader reported.
    std::unordered_set<std::string> uncertain_{};
    /// Jobs with a final status, oldest first.
    std::deque<std::string> final_{};
    std::vector<cluster::queue_load> loads_{};
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    /// No heartbeat was missed since the last snapshot.
    bool complete_ = false;
    /// The leader knows the jobs of all parts of the store.
    bool whole_ = false;
    base::time_point updated_at_{};
};

} // namespace poplarstile::frontend
