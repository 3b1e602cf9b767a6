#include "planning/progress.hpp"

#include <map>

namespace poplarstile::planning
{
namespace
{

/// Longest wait for a preference beside much free capacity: a plan, its orders and their answers
/// have to follow within 3 s of the beginning of the wait.
constexpr base::milliseconds longest_wait_beside_free_capacity{2'000};
/// Time that running in one rack saves, in estimates: work across racks takes three times as long.
constexpr int saved_in_one_rack = 2;

} // namespace

std::set<std::string_view> mostly_free_services(std::span<const worker_candidate> workers)
{
    struct sums {
        batch::resources used{};
        batch::resources capacity{};
    };
    std::map<std::string_view, sums> services;
    for (const auto& worker : workers) {
        auto& service = services[worker.facts->service];
        service.used += worker.facts->capacity - worker.free;
        service.capacity += worker.facts->capacity;
    }
    std::set<std::string_view> result;
    for (const auto& [name, service] : services) {
        if (batch::core_weight(service.used) * 2 < batch::core_weight(service.capacity)) {
            result.insert(name);
        }
    }
    return result;
}

bool takes_any_free_capacity(const work_unit& unit)
{
    return unit.waited >= longest_wait_beside_free_capacity;
}

bool no_longer_waits_for_a_rack(const work_unit& unit)
{
    return unit.rank.overdue || unit.waited >= unit.spec->estimate * saved_in_one_rack;
}

} // namespace poplarstile::planning
