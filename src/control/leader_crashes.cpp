#include "control/leader.hpp"

#include "base/event_line.hpp"

/// Crashes of workers, and the runs under which they happened.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"workers"};

} // namespace

void leader::note_crash(const worker_state& worker)
{
    if (worker.facts.draining) {
        return;
    }
    ++counters_.worker_crashes;
    for (const auto& crashed : runs_under_crash(worker, ports_.time->now())) {
        ++counters_.crashed_runs;
        const auto& ref = crashed.ref;
        log.info("worker_crashed_under_run",
                 {{"job", crashed.job},
                  {"task", batch::to_text({crashed.job, ref.occurrence, ref.step, ref.index})},
                  {"run", crashed.run},
                  {"worker", worker.facts.life.worker},
                  {"alone", crashed.evidence.alone},
                  {"at_start", crashed.evidence.at_start}});
    }
}

} // namespace poplarstile::control
