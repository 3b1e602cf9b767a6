#pragma once

#include "planning/planner.hpp"

#include <fmt/format.h>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace poplarstile::planning
{

/// Builds the input of a plan. Facts, specs and units keep their addresses.
struct plan_fixture {
    static constexpr batch::resources worker_capacity{32'000, 65'536, 8};

    /// Adds an empty worker and returns its index.
    std::size_t add_worker(const std::string& rack)
    {
        auto& worker = facts.emplace_back();
        worker.life = {fmt::format("w{}", facts.size()), 1};
        worker.service = service;
        worker.rack = rack;
        worker.labels = {"a", rack};
        worker.capacity = worker_capacity;
        worker_candidate candidate;
        candidate.facts = &worker;
        candidate.free = worker_capacity;
        candidate.free_after_stops = worker_capacity;
        workers.push_back(candidate);
        return workers.size() - 1;
    }

    /// Occupies resources of a worker with work that is not a victim.
    void occupy(std::size_t worker, std::int64_t accelerators)
    {
        const batch::resources held{1'000, 1'000, accelerators};
        workers.at(worker).free -= held;
        workers.at(worker).free_after_stops -= held;
        workers.at(worker).occupied = true;
    }

    /// Adds a running task that may be preempted and returns its index among the victims.
    std::size_t add_victim(std::size_t worker, std::int64_t accelerators, std::uint32_t priority,
                           double loss)
    {
        const batch::resources held{1'000, 1'000, accelerators};
        workers.at(worker).free -= held;
        workers.at(worker).free_after_stops -= held;
        workers.at(worker).occupied = true;
        victims.push_back({{{worker, held}}, priority, priority == 0, loss});
        return victims.size() - 1;
    }

    batch::step_spec& add_spec(std::uint32_t tasks, std::int64_t accelerators, bool gang)
    {
        auto& spec = specs.emplace_back();
        spec.task_count = tasks;
        spec.need = {1'000, 1'000, accelerators};
        spec.gang = gang;
        spec.estimate = base::milliseconds{2'000};
        return spec;
    }

    /// Adds a unit of all tasks of the spec and returns its index.
    std::size_t add_unit(const batch::step_spec& spec, work_rank rank)
    {
        work_unit unit;
        unit.spec = &spec;
        unit.service = &service;
        unit.rank = rank;
        for (std::uint32_t task = 0; task < spec.task_count; ++task) {
            unit.tasks.push_back(task);
        }
        units.push_back(std::move(unit));
        return units.size() - 1;
    }

    /// Adds a unit of suspected tasks and returns its index.
    std::size_t add_isolated_unit(const batch::step_spec& spec, work_rank rank)
    {
        const auto unit = add_unit(spec, rank);
        units.at(unit).isolated = true;
        return unit;
    }

    [[nodiscard]] plan make() const
    {
        return make_plan(units, workers, victims);
    }

    std::string service = "service";
    std::deque<fleet::worker_facts> facts{};
    std::deque<batch::step_spec> specs{};
    std::vector<worker_candidate> workers{};
    std::vector<victim> victims{};
    std::vector<work_unit> units{};
};

/// Rank of work that can meet its objective.
inline work_rank in_time(std::uint32_t priority, std::int64_t accepted_ms)
{
    return {false, priority, false, accepted_ms};
}

} // namespace poplarstile::planning
