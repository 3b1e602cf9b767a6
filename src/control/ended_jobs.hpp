#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace poplarstile::control
{

/// An ended job whose row is still stored.
struct ended_job {
    std::string id{};
    /// Index of the part that holds the row.
    std::size_t part = 0;
    /// Time of its end; empty when it is not known.
    std::optional<base::store_time> at{};
};

/// The ended jobs whose rows are still stored, and whose time is over first. A job without a known
/// end is kept.
class ended_jobs
{
public:
    /// Adds a job; false when one with this id is known already.
    bool add(const ended_job& job);

    /// Sets the end of a job that was added without one.
    void set_end(const std::string& id, std::optional<base::store_time> at);

    /// Keeps the row of a job, which need not be known yet, until as many calls of `release`.
    void hold(const std::string& id);
    void release(const std::string& id);

    [[nodiscard]] bool contains(const std::string& id) const
    {
        return jobs_.contains(id);
    }
    /// The part that holds the job's row; empty for a job that is not known.
    [[nodiscard]] std::optional<std::size_t> part_of(const std::string& id) const;

    [[nodiscard]] std::size_t size() const
    {
        return jobs_.size();
    }
    [[nodiscard]] std::size_t count_in(std::size_t part) const;
    [[nodiscard]] std::size_t count_without_end(std::size_t part) const;

    /// Removes and returns the jobs of a part that ended before `limit` and are not held, the
    /// earliest first and at most `max_jobs` of them.
    [[nodiscard]] std::vector<ended_job> take_ended_before(std::size_t part, base::store_time limit,
                                                           std::size_t max_jobs);

private:
    using end_and_id = std::pair<base::store_time, std::string>;

    std::unordered_map<std::string, ended_job> jobs_{};
    /// Jobs with a known end, by part.
    std::map<std::size_t, std::set<end_and_id>> by_end_{};
    /// How often a job is held.
    std::unordered_map<std::string, std::size_t> holds_{};
};

} // namespace poplarstile::control
