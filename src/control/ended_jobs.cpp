#include "control/ended_jobs.hpp"

#include <algorithm>

namespace poplarstile::control
{

bool ended_jobs::add(const ended_job& job)
{
    if (!jobs_.emplace(job.id, job).second) {
        return false;
    }
    if (job.at) {
        by_end_[job.part].emplace(*job.at, job.id);
    }
    return true;
}

void ended_jobs::set_end(const std::string& id, std::optional<base::store_time> at)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end() || found->second.at || !at) {
        return;
    }
    found->second.at = at;
    by_end_[found->second.part].emplace(*at, id);
}

void ended_jobs::hold(const std::string& id)
{
    ++holds_[id];
}

void ended_jobs::release(const std::string& id)
{
    const auto found = holds_.find(id);
    if (found != holds_.end() && --found->second == 0) {
        holds_.erase(found);
    }
}

std::optional<std::size_t> ended_jobs::part_of(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? std::nullopt : std::optional{found->second.part};
}

std::size_t ended_jobs::count_in(std::size_t part) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        jobs_, [part](const auto& entry) { return entry.second.part == part; }));
}

std::size_t ended_jobs::count_without_end(std::size_t part) const
{
    return static_cast<std::size_t>(std::ranges::count_if(jobs_, [part](const auto& entry) {
        return entry.second.part == part && !entry.second.at;
    }));
}

std::vector<ended_job> ended_jobs::take_ended_before(std::size_t part, base::store_time limit,
                                                     std::size_t max_jobs)
{
    std::vector<ended_job> taken;
    auto& ends = by_end_[part];
    for (auto next = ends.begin();
         next != ends.end() && next->first < limit && taken.size() < max_jobs;) {
        if (holds_.contains(next->second)) {
            ++next;
            continue;
        }
        const auto found = jobs_.find(next->second);
        taken.push_back(std::move(found->second));
        jobs_.erase(found);
        next = ends.erase(next);
    }
    return taken;
}

} // namespace poplarstile::control
