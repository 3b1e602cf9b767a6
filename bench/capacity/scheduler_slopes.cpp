#include "bench/capacity/fake_domain.hpp"
#include "bench/capacity/measurement.hpp"

#include <array>
#include <memory>

namespace poplarstile::bench::capacity
{
namespace
{

/// A failure domain of the target has 636 workers on average; the last size is twice that.
constexpr std::array<std::size_t, 5> worker_sizes{80, 160, 320, 640, 1'280};
constexpr std::array<std::size_t, 5> job_sizes{125, 250, 500, 1'000, 2'000};
constexpr std::array<std::size_t, 5> queue_sizes{32, 64, 128, 256, 512};
constexpr std::array<std::size_t, 5> member_sizes{4, 8, 16, 32, 64};
constexpr std::array<std::size_t, 5> task_sizes{32, 64, 128, 256, 512};
constexpr std::size_t target_workers = 640;

std::size_t workers_for(std::size_t tasks)
{
    return tasks / accelerators_per_worker + workers_per_rack;
}

slope state_per_worker(const effort& how)
{
    return measure({.name = "scheduler.worker.state",
                    .what = "Memory of a scheduler without jobs.",
                    .size_unit = "workers",
                    .cost_unit = "bytes"},
                   worker_sizes, how, [](std::size_t workers) {
                       const auto before = allocated_bytes();
                       const fake_domain domain{workers};
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope state_per_task(const effort& how)
{
    return measure({.name = "scheduler.task.state",
                    .what = "Memory that running jobs of one task each add.",
                    .size_unit = "tasks",
                    .cost_unit = "bytes"},
                   job_sizes, how, [](std::size_t tasks) {
                       fake_domain domain{workers_for(tasks)};
                       const auto before = allocated_bytes();
                       domain.start_jobs(tasks, 1);
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope state_per_queued_job(const effort& how)
{
    return measure({.name = "scheduler.queued_job.state",
                    .what = "Memory that waiting jobs add to a full domain of 8 workers.",
                    .size_unit = "jobs",
                    .cost_unit = "bytes"},
                   job_sizes, how, [](std::size_t jobs) {
                       fake_domain domain{workers_per_rack};
                       domain.start_jobs(workers_per_rack * accelerators_per_worker, 1);
                       const auto before = allocated_bytes();
                       domain.queue_jobs(jobs);
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope heartbeat_round(const effort& how)
{
    return measure(
        {.name = "scheduler.heartbeat_round.cpu",
         .what = "Decisions of one heartbeat: asking every worker, and one report of each.",
         .size_unit = "workers",
         .cost_unit = "us"},
        worker_sizes, how, [&how](std::size_t workers) {
            fake_domain domain{workers};
            return least_cpu_us(
                how.repeats, [] {}, [&] { domain.report_all(); });
        });
}

slope heartbeat_tasks(const effort& how)
{
    return measure({.name = "scheduler.report_task.cpu",
                    .what = "Decision on one worker's report, by the tasks that it lists.",
                    .size_unit = "tasks",
                    .cost_unit = "us"},
                   task_sizes, how, [&how](std::size_t tasks) {
                       fake_domain domain{workers_for(tasks)};
                       domain.start_jobs(tasks, 1);
                       scheduling::event next;
                       return least_cpu_us(
                           how.repeats * 4,
                           [&] {
                               domain.ask_all();
                               next = domain.report_with_tasks(tasks);
                           },
                           [&] { domain.decide(std::move(next)); });
                   });
}

slope tick(const effort& how)
{
    return measure({.name = "scheduler.tick.cpu",
                    .what = "Decision on passed time in a domain of 640 workers, by running tasks.",
                    .size_unit = "tasks",
                    .cost_unit = "us"},
                   job_sizes, how, [&how](std::size_t tasks) {
                       fake_domain domain{target_workers};
                       domain.start_jobs(tasks, 1);
                       return least_cpu_us(
                           how.repeats, [] {}, [&] { domain.decide(scheduling::time_passed{}); });
                   });
}

slope queue_pass(const effort& how)
{
    return measure({.name = "scheduler.queue_pass.cpu",
                    .what = "One pass over waiting jobs in a full domain of 640 workers; the "
                            "scheduler makes one with every tick.",
                    .size_unit = "jobs",
                    .cost_unit = "us"},
                   queue_sizes, how, [&how](std::size_t jobs) {
                       fake_domain domain{target_workers / how.divisor};
                       domain.start_jobs(target_workers / how.divisor, accelerators_per_worker);
                       domain.queue_jobs(jobs);
                       return least_cpu_us(
                           how.repeats, [] {}, [&] { domain.decide(scheduling::time_passed{}); });
                   });
}

slope placement_by_workers(const effort& how)
{
    return measure({.name = "scheduler.placement.workers.cpu",
                    .what = "Placement of one job of one accelerator, half of the domain taken.",
                    .size_unit = "workers",
                    .cost_unit = "us"},
                   worker_sizes, how, [&how](std::size_t workers) {
                       fake_domain domain{workers};
                       domain.start_jobs(workers / 2, accelerators_per_worker);
                       return least_cpu_us(
                           how.repeats, [] {}, [&] { domain.start_jobs(1, 1); });
                   });
}

slope placement_by_members(const effort& how)
{
    return measure({.name = "scheduler.placement.members.cpu",
                    .what = "Placement and release of one gang on free accelerators of 640 workers "
                            "with racks of 64 accelerators, which bound a gang.",
                    .size_unit = "members",
                    .cost_unit = "us"},
                   member_sizes, how, [&how](std::size_t members) {
                       fake_domain domain{target_workers};
                       return least_cpu_us(
                           how.repeats, [] {},
                           [&] { domain.start_jobs(1, static_cast<std::uint32_t>(members)); });
                   });
}

/// What the daemon copies into its published view every 50 ms.
slope view(const effort& how)
{
    return measure({.name = "scheduler.view.cpu",
                    .what = "Copy of all jobs, workers and free accelerators of 640 workers for "
                            "the other duties, by running tasks.",
                    .size_unit = "tasks",
                    .cost_unit = "us"},
                   job_sizes, how, [&how](std::size_t tasks) {
                       fake_domain domain{target_workers};
                       domain.start_jobs(tasks, 1);
                       return least_cpu_us(
                           how.repeats, [] {},
                           [&] {
                               const auto jobs = domain.scheduler().jobs();
                               const auto workers = domain.scheduler().workers();
                               const auto room = domain.scheduler().room();
                           });
                   });
}

/// What the daemon scans every two seconds.
slope job_rows(const effort& how)
{
    return measure({.name = "scheduler.job_rows.bytes",
                    .what = "Rows of live jobs as JSON, which the scheduler scans again and again.",
                    .size_unit = "jobs",
                    .cost_unit = "bytes"},
                   job_sizes, how, [](std::size_t jobs) {
                       std::size_t bytes = 0;
                       for (std::size_t job = 0; job < jobs; ++job) {
                           bytes += to_json(make_job(job, 1)).dump().size();
                       }
                       return static_cast<double>(bytes);
                   });
}

} // namespace

std::vector<slope> scheduler_slopes(const effort& how)
{
    return {state_per_worker(how),
            state_per_task(how),
            state_per_queued_job(how),
            heartbeat_round(how),
            heartbeat_tasks(how),
            tick(how),
            queue_pass(how),
            view(how),
            placement_by_workers(how),
            placement_by_members(how),
            job_rows(how)};
}

} // namespace poplarstile::bench::capacity
