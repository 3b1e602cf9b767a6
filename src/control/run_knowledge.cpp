#include "control/run_knowledge.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace poplarstile::control
{

std::string_view name_of(known_of_run known)
{
    static constexpr std::array<std::string_view, 6> names{"job_unknown",      "task_unknown",
                                                           "task_done",        "task_waiting",
                                                           "other_run_placed", "placed_elsewhere"};
    return names.at(static_cast<std::size_t>(known));
}

known_of_run what_is_known(const batch::job* job, const batch::task_ref& ref, std::uint32_t run)
{
    if (job == nullptr) {
        return known_of_run::job_unknown;
    }
    if (!job->has(ref)) {
        return known_of_run::task_unknown;
    }
    const auto& task = job->task(ref);
    if (task.phase == batch::task_phase::done) {
        return known_of_run::task_done;
    }
    if (task.phase == batch::task_phase::waiting) {
        return known_of_run::task_waiting;
    }
    return task.run == run ? known_of_run::placed_elsewhere : known_of_run::other_run_placed;
}

void given_up_runs::add(given_up_run run)
{
    if (runs_.size() == max_runs) {
        runs_.pop_front();
    }
    runs_.push_back(std::move(run));
}

const given_up_run* given_up_runs::find(std::string_view task, std::uint32_t run) const
{
    const auto found = std::find_if(runs_.rbegin(), runs_.rend(), [&](const given_up_run& entry) {
        return entry.run == run && entry.task == task;
    });
    return found == runs_.rend() ? nullptr : &*found;
}

} // namespace poplarstile::control
