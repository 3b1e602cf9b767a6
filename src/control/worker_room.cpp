#include "control/worker_room.hpp"

#include <algorithm>

namespace poplarstile::control
{
namespace
{

/// True when the run is in the leader's own record of the worker: a part of the store that was
/// read since the list may tell of it.
bool has_record(const worker_state& worker, const listed_run& listed)
{
    const auto found = worker.runs.find(batch::to_text(listed.task));
    return found != worker.runs.end() && found->second.run == listed.run;
}

} // namespace

worker_room room_of(const worker_state& worker)
{
    worker_room room;
    for (const auto& [task, run] : worker.runs) {
        room.in_use += run.need;
        if (run.stopping != stop_reason::none) {
            room.being_stopped += run.need;
        }
    }
    room.known = worker.unknown.readable();
    for (const auto& [listed, shown] : worker.unknown.runs()) {
        if (has_record(worker, listed)) {
            continue;
        }
        ++room.unknown_runs;
        room.known = room.known && shown.need.has_value();
        room.in_use += shown.need.value_or(batch::resources{});
        if (shown.stop_sends > 0) {
            room.being_stopped += shown.need.value_or(batch::resources{});
        }
    }
    return room;
}

std::uint32_t tasks_on(const worker_state& worker, const unit_origin& step)
{
    const auto recorded = std::ranges::count_if(worker.runs, [&step](const auto& entry) {
        const auto& run = entry.second;
        return run.job == step.job && run.ref.occurrence == step.occurrence &&
               run.ref.step == step.step;
    });
    const auto unrecorded = std::ranges::count_if(worker.unknown.runs(), [&](const auto& entry) {
        const auto& task = entry.first.task;
        return task.job == step.job && task.occurrence == step.occurrence &&
               task.step == step.step && !has_record(worker, entry.first);
    });
    return static_cast<std::uint32_t>(recorded + unrecorded);
}

} // namespace poplarstile::control
