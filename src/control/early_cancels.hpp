#pragma once

#include "base/time.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace poplarstile::control
{

/// Stored requests to cancel jobs that are not open: the job's row has not been read yet, or the
/// job has ended, or its row is gone. A request counts for each row of its job until it is taken.
class early_cancels
{
public:
    /// Notes the request that a part holds, read at `now`. One that is noted already keeps its
    /// time.
    void add(const std::string& id, std::size_t part, base::time_point now);

    /// Keeps the requests of a job whose row is stored but can't be read.
    void keep(const std::string& id);

    /// Removes and returns the parts that hold a request to cancel this job.
    [[nodiscard]] std::vector<std::size_t> take(const std::string& id);

    /// Removes and returns the jobs whose requests in a part were noted before the limit that
    /// `limit_of` tells for the job, at most `max_requests` of them.
    [[nodiscard]] std::vector<std::string>
    take_noted_before(std::size_t part,
                      const std::function<base::time_point(const std::string& id)>& limit_of,
                      std::size_t max_requests);

private:
    /// When each request was noted, by job and part.
    std::map<std::string, std::map<std::size_t, base::time_point>> noted_{};
    std::set<std::string> kept_{};
};

} // namespace poplarstile::control
