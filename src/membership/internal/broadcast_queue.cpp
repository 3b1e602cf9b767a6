#include "membership/internal/broadcast_queue.hpp"

#include <algorithm>

namespace poplarstile::membership::internal
{

void broadcast_queue::add(std::string_view vm)
{
    sent_.insert_or_assign(std::string{vm}, 0U);
}

std::vector<std::string> broadcast_queue::take(std::size_t count, unsigned limit)
{
    std::vector<std::map<std::string, unsigned, std::less<>>::iterator> order;
    for (auto entry = sent_.begin(); entry != sent_.end(); ++entry) {
        order.push_back(entry);
    }
    std::ranges::stable_sort(
        order, [](const auto& left, const auto& right) { return left->second < right->second; });
    order.resize(std::min(order.size(), count));
    std::vector<std::string> taken;
    for (const auto& entry : order) {
        taken.push_back(entry->first);
        if (++entry->second >= limit) {
            sent_.erase(entry);
        }
    }
    return taken;
}

bool broadcast_queue::empty() const
{
    return sent_.empty();
}

} // namespace poplarstile::membership::internal
