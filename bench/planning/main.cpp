/// Cost of one plan at the size of a site: workers that are nearly full, running work that could
/// give way, and units that wait. Arguments of each case: workers, waiting urgent gangs.
#include "planning/planner.hpp"

#include <benchmark/benchmark.h>

#include <fmt/format.h>

#include <random>

namespace
{

using namespace poplarstile;

constexpr std::size_t workers_per_rack = 20;
constexpr batch::resources room{32'000, 65'536, 8};
constexpr batch::resources one_accelerator{2'800, 4'100, 1};
constexpr std::uint32_t urgent = 0;
constexpr std::uint32_t patient = 2;

/// A site full of tasks of one accelerator each, at random points of their run.
struct full_site {
    explicit full_site(std::size_t worker_count)
    {
        std::mt19937_64 random{1};
        std::uniform_real_distribution<double> lost{0.0, 25.0};
        facts.resize(worker_count);
        for (std::size_t index = 0; index < worker_count; ++index) {
            auto& worker = facts.at(index);
            worker.life = {fmt::format("w{:04}", index), 1};
            worker.service = service;
            worker.rack = fmt::format("r{:03}", index / workers_per_rack);
            worker.labels = {"a", worker.rack};
            worker.capacity = room;
            planning::worker_candidate made;
            made.facts = &worker;
            made.free = room;
            for (std::int64_t task = 0; task < room.accelerators; ++task) {
                made.free -= one_accelerator;
                victims.push_back({{{index, one_accelerator}}, patient, false, lost(random)});
            }
            made.free_after_stops = made.free;
            made.occupied = true;
            workers.push_back(made);
        }
    }

    void add_gangs(std::size_t count)
    {
        gang.task_count = 5;
        gang.gang = true;
        gang.one_rack = true;
        gang.need = {3'700, 9'800, 4};
        for (std::size_t index = 0; index < count; ++index) {
            planning::work_unit unit;
            unit.spec = &gang;
            unit.service = &service;
            unit.tasks = {0, 1, 2, 3, 4};
            unit.rank = {false, urgent, false, static_cast<std::int64_t>(index)};
            units.push_back(unit);
        }
    }

    /// Adds units that preempt nothing: gangs and single tasks in turn, some of them isolated.
    void add_waiting(std::size_t count, std::size_t isolated)
    {
        single.task_count = 1;
        single.need = one_accelerator;
        add_gangs(count);
        for (std::size_t index = 0; index < count; ++index) {
            auto& unit = units.at(index);
            unit.rank.priority = patient;
            unit.isolated = index < isolated;
            if (index % 2 == 0) {
                unit.spec = &single;
                unit.tasks = {0};
            }
        }
    }

    std::string service = "service";
    std::vector<fleet::worker_facts> facts{};
    std::vector<planning::worker_candidate> workers{};
    std::vector<planning::victim> victims{};
    batch::step_spec gang{};
    batch::step_spec single{};
    std::vector<planning::work_unit> units{};
};

void urgent_gangs_on_a_full_site(benchmark::State& state)
{
    full_site site{static_cast<std::size_t>(state.range(0))};
    site.add_gangs(static_cast<std::size_t>(state.range(1)));
    for (auto _ : state) {
        auto made = planning::make_plan(site.units, site.workers, site.victims);
        benchmark::DoNotOptimize(made);
    }
}

/// Arguments: workers, waiting units, isolated units among them.
void waiting_units_with_isolated_ones(benchmark::State& state)
{
    full_site site{static_cast<std::size_t>(state.range(0))};
    site.add_waiting(static_cast<std::size_t>(state.range(1)),
                     static_cast<std::size_t>(state.range(2)));
    for (auto _ : state) {
        auto made = planning::make_plan(site.units, site.workers, site.victims);
        benchmark::DoNotOptimize(made);
    }
}

BENCHMARK(waiting_units_with_isolated_ones)
    ->Args({350, 300, 0})
    ->Args({350, 300, 10})
    ->Args({350, 300, 100})
    ->Args({350, 300, 300})
    ->Unit(benchmark::kMicrosecond);

BENCHMARK(urgent_gangs_on_a_full_site)
    ->Args({48, 1})
    ->Args({48, 10})
    ->Args({350, 1})
    ->Args({350, 10})
    ->Args({350, 40})
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
