#include "control/early_cancels.hpp"

namespace poplarstile::control
{

void early_cancels::add(const std::string& id, std::size_t part, base::time_point now)
{
    noted_[id].emplace(part, now);
}

void early_cancels::keep(const std::string& id)
{
    kept_.insert(id);
}

std::vector<std::size_t> early_cancels::take(const std::string& id)
{
    std::vector<std::size_t> parts;
    const auto found = noted_.extract(id);
    if (!found.empty()) {
        for (const auto& [part, noted] : found.mapped()) {
            parts.push_back(part);
        }
    }
    return parts;
}

std::vector<std::string> early_cancels::take_noted_before(
    std::size_t part, const std::function<base::time_point(const std::string& id)>& limit_of,
    std::size_t max_requests)
{
    std::vector<std::string> taken;
    for (auto next = noted_.begin(); next != noted_.end() && taken.size() < max_requests;) {
        const auto current = next++;
        auto& [id, parts] = *current;
        const auto request = parts.find(part);
        if (request == parts.end() || request->second >= limit_of(id) || kept_.contains(id)) {
            continue;
        }
        taken.push_back(id);
        parts.erase(request);
        if (parts.empty()) {
            noted_.erase(current);
        }
    }
    return taken;
}

} // namespace poplarstile::control
