#pragma once

#include "base/timers.hpp"
#include "batch/resources.hpp"
#include "batch/task_id.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace poplarstile::control
{

/// Identifies a run in a worker's lists.
struct listed_run {
    batch::task_id task{};
    std::uint32_t run = 0;

    // clang-tidy 14 takes the 0 in what the compiler makes of <=> for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const listed_run&) const = default;
};

/// What is known of a run that a worker lists, or may come to list, and that the leader has no
/// record of there.
struct unknown_run {
    /// Empty when the run's job is not known.
    std::optional<batch::resources> need{};
    base::time_point first_shown_at{};
    /// When a list with the run was last received.
    base::time_point shown_at{};
    /// Until then it may begin although lists lack it.
    base::time_point may_begin_until{};
    std::uint32_t stop_sends = 0;
    base::time_point stop_sent_at{};
    /// It was logged that the run goes on although it is being stopped.
    bool reported = false;
};

/// One list of what a worker runs, as far as it can be read.
struct worker_list {
    /// When the poll was sent.
    base::time_point sent{};
    base::time_point received{};
    std::set<listed_run> running{};
    /// Entries that could not be read.
    std::uint32_t unreadable = 0;
    /// A run that the list lacks is not on the worker.
    bool complete = true;
};

/// The runs on one worker that only the worker tells of. Answers of polls may overtake each other,
/// so a run is gone only when its end is listed, or when a complete list lacks it whose poll was
/// sent after the run was last shown.
class unknown_runs
{
public:
    /// Notes that the worker lists a run. Keeps a need that is known already.
    unknown_run& show(const listed_run& run, const std::optional<batch::resources>& need,
                      base::time_point received);

    /// Notes a run that may begin until some time: its start was given up without the worker's own
    /// word.
    unknown_run& expect(const listed_run& run, const batch::resources& need, base::time_point now,
                        base::time_point until);

    /// The end of the run is listed, or the leader has a record of it now.
    void forget(const listed_run& run)
    {
        runs_.erase(run);
    }

    /// Drops the runs that the list shows to be gone.
    void settle(const worker_list& list);

    /// Nothing that ran there is left.
    void clear();

    /// True when the newest list had no entry that could not be read.
    [[nodiscard]] bool readable() const
    {
        return !unreadable_at_;
    }
    [[nodiscard]] bool empty() const
    {
        return runs_.empty() && readable();
    }
    [[nodiscard]] const std::map<listed_run, unknown_run>& runs() const
    {
        return runs_;
    }
    [[nodiscard]] std::map<listed_run, unknown_run>& runs()
    {
        return runs_;
    }

private:
    std::map<listed_run, unknown_run> runs_{};
    /// When the last list with an unreadable entry was received.
    std::optional<base::time_point> unreadable_at_{};
};

} // namespace poplarstile::control
