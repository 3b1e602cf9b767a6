#include "bench/checker/measures.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace poplarstile::bench::checker
{
namespace
{

constexpr double us_per_ms = 1'000.0;
constexpr wall_us fragmentation_interval = 250'000;

double at_rank(const std::vector<wall_us>& sorted, double share)
{
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    const auto index = rank == 0 ? 0 : rank - 1;
    return static_cast<double>(sorted[std::min(index, sorted.size() - 1)]) / us_per_ms;
}

std::map<std::string, distribution>
distributions_of(const std::map<std::string, std::vector<wall_us>>& durations)
{
    std::map<std::string, distribution> by_class;
    for (const auto& [name, values] : durations) {
        by_class.emplace(name, distribution_of(values));
    }
    return by_class;
}

std::map<std::string_view, wall_us> first_sendings(const history& seen)
{
    std::map<std::string_view, wall_us> first;
    for (const auto& note : seen.requests) {
        const auto [entry, fresh] = first.emplace(note.marker, note.sent);
        if (!fresh) {
            entry->second = std::min(entry->second, note.sent);
        }
    }
    return first;
}

using accelerator_id = std::pair<std::string_view, std::uint32_t>;

std::set<accelerator_id> busy_at(const history& seen, wall_us at)
{
    std::set<accelerator_id> busy;
    for (const auto& task : seen.tasks) {
        const auto from = task.held != 0 ? task.held : task.released;
        const auto until = task.ended == 0 ? seen.observed_until : task.ended;
        if (from > at || until <= at) {
            continue;
        }
        for (const auto index : task.accelerators) {
            busy.emplace(task.worker, index);
        }
    }
    return busy;
}

/// Counts, along one rack, what is free and what of it the shape can use.
class rack_count
{
public:
    explicit rack_count(const guarantee& shape) : shape_{shape} {}

    void add_worker(const worker_place& place, const std::set<accelerator_id>& busy)
    {
        if (place.position != expected_position_) {
            run_ = 0;
        }
        expected_position_ = place.position + 1;
        for (std::uint32_t first = 0; first < place.accelerators; first += shape_.accelerators) {
            add_block(place, first, busy);
        }
    }

    std::uint64_t free = 0;
    std::uint64_t usable = 0;

private:
    void add_block(const worker_place& place, std::uint32_t first,
                   const std::set<accelerator_id>& busy)
    {
        const auto last = std::min(first + shape_.accelerators, place.accelerators);
        std::uint32_t free_here = 0;
        for (auto index = first; index < last; ++index) {
            free_here += busy.contains({place.worker, index}) ? 0 : 1;
        }
        free += free_here;
        run_ = free_here == shape_.accelerators ? run_ + 1 : 0;
        if (run_ == shape_.members) {
            usable += std::uint64_t{shape_.members} * shape_.accelerators;
            run_ = 0;
        }
    }

    guarantee shape_;
    std::uint32_t run_ = 0;
    std::uint32_t expected_position_ = 0;
};

using racks = std::map<std::pair<std::string, std::string>, std::vector<worker_place>>;

racks racks_of(std::span<const worker_place> places)
{
    racks grouped;
    for (const auto& place : places) {
        grouped[{place.domain, place.rack}].push_back(place);
    }
    for (auto& [key, workers] : grouped) {
        std::ranges::sort(workers, {}, &worker_place::position);
    }
    return grouped;
}

std::map<std::string, guarantee> largest_by_domain(std::span<const guarantee> shapes)
{
    std::map<std::string, guarantee> largest;
    for (const auto& shape : shapes) {
        auto& entry = largest[shape.domain];
        const auto total = shape.members * shape.accelerators;
        if (entry.domain.empty() || total > entry.members * entry.accelerators) {
            entry = shape;
        }
    }
    return largest;
}

} // namespace

distribution distribution_of(std::vector<wall_us> durations)
{
    if (durations.empty()) {
        return {};
    }
    std::ranges::sort(durations);
    return {.count = durations.size(),
            .p50 = at_rank(durations, 0.50),
            .p95 = at_rank(durations, 0.95),
            .p99 = at_rank(durations, 0.99)};
}

std::map<std::string, distribution> request_completion(const history& seen)
{
    const auto first = first_sendings(seen);
    std::set<std::string_view> counted;
    std::map<std::string, std::vector<wall_us>> durations;
    for (const auto& note : seen.requests) {
        if (note.told == answer::completed && counted.insert(note.marker).second) {
            durations[note.service].push_back(note.answered - first.at(note.marker));
        }
    }
    return distributions_of(durations);
}

std::map<std::string, distribution> job_completion(const history& seen)
{
    std::map<std::string_view, wall_us> last_end;
    for (const auto& task : seen.tasks) {
        if (task.state == "completed") {
            last_end[task.job] = std::max(last_end[task.job], task.ended);
        }
    }
    std::map<std::string, std::vector<wall_us>> durations;
    for (const auto& note : seen.jobs) {
        const auto end = last_end.find(note.job);
        if (note.state == "completed" && end != last_end.end()) {
            durations[note.job_class].push_back(end->second - note.submitted);
        }
    }
    return distributions_of(durations);
}

distribution urgent_start(const history& seen)
{
    const auto first = first_sendings(seen);
    std::map<std::string_view, wall_us> started;
    for (const auto& run : seen.executions) {
        const auto [entry, fresh] = started.emplace(run.marker, run.started);
        if (!fresh) {
            entry->second = std::min(entry->second, run.started);
        }
    }
    std::set<std::string_view> counted;
    std::vector<wall_us> durations;
    for (const auto& note : seen.requests) {
        const auto run = started.find(note.marker);
        if (note.urgent && run != started.end() && counted.insert(note.marker).second) {
            durations.push_back(std::max<wall_us>(0, run->second - first.at(note.marker)));
        }
    }
    return distribution_of(std::move(durations));
}

double fragmentation(const history& seen, std::span<const worker_place> places)
{
    if (seen.tasks.empty()) {
        return 0;
    }
    const auto shapes = largest_by_domain(seen.guarantees);
    const auto grouped = racks_of(places);
    wall_us from = seen.observed_until;
    wall_us until = 0;
    for (const auto& task : seen.tasks) {
        from = std::min(from, task.held != 0 ? task.held : task.released);
        until = std::max(until, task.ended == 0 ? seen.observed_until : task.ended);
    }
    double sum = 0;
    std::size_t samples = 0;
    for (auto at = from; at < until; at += fragmentation_interval) {
        const auto busy = busy_at(seen, at);
        std::uint64_t free = 0;
        std::uint64_t usable = 0;
        for (const auto& [key, workers] : grouped) {
            const auto shape = shapes.find(key.first);
            if (shape == shapes.end()) {
                continue;
            }
            rack_count count{shape->second};
            for (const auto& place : workers) {
                count.add_worker(place, busy);
            }
            free += count.free;
            usable += count.usable;
        }
        if (free > 0) {
            sum += 1.0 - static_cast<double>(usable) / static_cast<double>(free);
            ++samples;
        }
    }
    return samples == 0 ? 0 : sum / static_cast<double>(samples);
}

} // namespace poplarstile::bench::checker
