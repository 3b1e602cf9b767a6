#include "scheduling/ended_rows.hpp"

#include <algorithm>

namespace poplarstile::scheduling
{

void ended_rows::add(const std::string& job, table::row_version version)
{
    const auto [entry, added] = versions_.try_emplace(job, version);
    entry->second = std::max(entry->second, version);
    if (!added) {
        return;
    }
    jobs_.push_back(job);
    if (jobs_.size() > capacity_) {
        const auto oldest = versions_.find(jobs_.front());
        forgotten_up_to_ = std::max(forgotten_up_to_, oldest->second);
        versions_.erase(oldest);
        jobs_.pop_front();
    }
}

bool ended_rows::is_gone(std::string_view job, table::row_version version) const
{
    const auto found = versions_.find(job);
    return found != versions_.end() && version < found->second;
}

void ended_rows::clear()
{
    versions_.clear();
    jobs_.clear();
    forgotten_up_to_ = 0;
}

} // namespace poplarstile::scheduling
