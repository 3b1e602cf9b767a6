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

/// The callers' side of every VM: takes jobs, shows their state, cancels them, turns work away.
namespace poplarstile::frontend
{

/// What a VM knows of jobs from the leader's beats. Only stored statuses are told, so all that
/// stands here is true or was; a final status stays true.
class job_views
{
public:
    /// `fresh_for`: how long after a beat the statuses that may change still count as known.
    job_views(const base::timers& time, base::milliseconds fresh_for, std::size_t most_final);

    /// A stored status. Final ones are never replaced.
    void note(const cluster::job_view& view);

    /// A beat; `false` asks for a snapshot because something was missed.
    bool apply_heartbeat(const cluster::leader_heartbeat& beat);

    /// All jobs that the leader knows and that are not over. What else counted as open was told by
    /// an earlier leader: it has ended if this one knows all parts (`whole`), else it is doubtful.
    void replace_open_jobs(const std::vector<cluster::job_view>& open, bool whole);

    /// What the leader itself knows, on its own VM.
    void set_loads(std::vector<cluster::queue_load> loads, bool whole);

    /// True while the statuses and loads are as new as the leader's beats.
    [[nodiscard]] bool fresh() const;

    /// True when every job that is not over is known here, so that a job which is not known is new.
    [[nodiscard]] bool whole() const
    {
        return fresh() && whole_;
    }

    /// True when a job of this id was accepted, whatever became of it.
    [[nodiscard]] bool knows(std::string_view job) const;

    [[nodiscard]] std::optional<cluster::job_view> find(std::string_view job) const;

    /// Load of a queue; nothing when the leader was not heard lately.
    [[nodiscard]] std::optional<cluster::queue_load> load_of(std::string_view queue) const;

private:
    void keep_final(const std::string& job);

    const base::timers& time_;
    base::milliseconds fresh_for_;
    std::size_t most_final_;
    std::unordered_map<std::string, cluster::job_view> views_{};
    /// Open ones of which only an earlier leader told.
    std::unordered_set<std::string> doubtful_{};
    /// Final ones, oldest first.
    std::deque<std::string> final_{};
    std::vector<cluster::queue_load> loads_{};
    std::uint64_t epoch_ = 0;
    std::uint64_t sequence_ = 0;
    bool complete_ = false;
    bool whole_ = false;
    base::time_point heard_at_{};
};

} // namespace poplarstile::frontend
