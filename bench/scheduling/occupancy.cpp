#include "bench/scheduling/run_record.hpp"

namespace poplarstile::bench::scheduling
{
namespace
{

bool block_free(const occupancy::worker& worker, std::uint32_t first, std::uint32_t size)
{
    for (std::uint32_t at = first; at < first + size; ++at) {
        if (worker.taken[at]) {
            return false;
        }
    }
    return true;
}

std::optional<std::vector<first_fit_place>> places_from(const occupancy& domain, std::size_t first,
                                                        const rules::shape& wanted)
{
    std::vector<first_fit_place> places;
    for (std::size_t index = first; index < domain.workers.size(); ++index) {
        const auto& worker = domain.workers[index];
        if (index > first) {
            const auto& before = domain.workers[index - 1];
            if (before.rack != worker.rack || before.position + 1 != worker.position) {
                return std::nullopt;
            }
        }
        const auto found = places.size();
        for (std::uint32_t at = 0;
             worker.usable && at + wanted.accelerators <= worker.taken.size();
             at += wanted.accelerators) {
            if (block_free(worker, at, wanted.accelerators)) {
                places.push_back({index, at});
            }
            if (places.size() == wanted.members) {
                return places;
            }
        }
        if (places.size() == found) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<first_fit_place>> first_fit(const occupancy& domain,
                                                      const rules::shape& wanted)
{
    for (std::size_t first = 0; first < domain.workers.size(); ++first) {
        if (auto places = places_from(domain, first, wanted)) {
            return places;
        }
    }
    return std::nullopt;
}

domain_sample sample_fragmentation(occupancy domain, const rules::shape& wanted)
{
    domain_sample sample;
    for (const auto& worker : domain.workers) {
        for (const bool taken : worker.taken) {
            sample.free += worker.usable && !taken ? 1 : 0;
        }
    }
    sample.stranded = sample.free;
    for (std::size_t first = 0; first < domain.workers.size();) {
        const auto places = places_from(domain, first, wanted);
        if (!places) {
            ++first;
            continue;
        }
        sample.stranded -= wanted.total();
        for (const auto& place : *places) {
            for (std::uint32_t at = 0; at < wanted.accelerators; ++at) {
                domain.workers[place.worker].taken[place.first + at] = true;
            }
        }
    }
    return sample;
}

} // namespace poplarstile::bench::scheduling
