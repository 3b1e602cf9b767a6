#include "bench/scheduling/fake_worker.hpp"

namespace poplarstile::bench::scheduling
{

using base::milliseconds;
using workers::task_state;

namespace
{

/// What it costs to go on from a checkpoint.
constexpr milliseconds resume_cost{500};

workers::task_answer accepted(task_state state, milliseconds progress)
{
    return {workers::task_answer::kind::accepted, state, "", progress};
}

milliseconds progress_of(const fake_worker::task& one, milliseconds now)
{
    return one.resumed_from +
           (one.state == task_state::running ? now - one.started : milliseconds{0});
}

} // namespace

workers::task_answer fake_worker::hold(const workers::hold_call& call, const task_fate& fate,
                                       milliseconds now)
{
    auto& one = tasks_[call.task];
    one = {.call = call, .fate = fate, .lease_ends = now + call.lease};
    one.resumed_from = milliseconds{call.payload.value().value("resume_ms", std::int64_t{0})};
    return accepted(one.state, one.resumed_from);
}

workers::task_answer fake_worker::order(const std::string& id, const std::string& what,
                                        milliseconds now)
{
    advance(now);
    const auto found = tasks_.find(id);
    if (found == tasks_.end()) {
        return accepted(task_state::stopped, {});
    }
    auto& one = found->second;
    const auto progress = progress_of(one, now);
    if (what == "release" && one.state == task_state::held) {
        one.state = task_state::running;
        one.started = now;
    } else if (what == "stop" && !workers::ended(one.state)) {
        one.state = task_state::stopped;
    }
    auto answer = accepted(one.state, progress);
    if (what == "forget" && workers::ended(one.state)) {
        tasks_.erase(found);
    }
    return answer;
}

workers::lease_answer fake_worker::renew(milliseconds lease, milliseconds now)
{
    advance(now);
    workers::lease_answer answer{workers::lease_answer::kind::renewed, 0, {}};
    for (auto& [id, one] : tasks_) {
        one.lease_ends = now + lease;
        answer.report.tasks.push_back({id, one.call.job, one.call.gang_size, one.call.member,
                                       one.call.accelerators, one.state, progress_of(one, now)});
    }
    return answer;
}

void fake_worker::end_due_task(task& one, milliseconds now)
{
    const auto cost = one.resumed_from.count() > 0 ? resume_cost : milliseconds{0};
    const auto due = one.started + one.fate.run - one.resumed_from + cost;
    if (one.state == task_state::running && due <= now && due <= one.lease_ends) {
        one.state =
            one.fate.fails || one.fate.kills_worker ? task_state::failed : task_state::completed;
    } else if (!workers::ended(one.state) && one.lease_ends < now) {
        one.state = task_state::expired;
    }
}

void fake_worker::advance(milliseconds now)
{
    bool killed = false;
    for (auto& [id, one] : tasks_) {
        const bool ran = one.state == task_state::running;
        end_due_task(one, now);
        killed = killed || (ran && one.fate.kills_worker && one.state == task_state::failed);
    }
    for (auto& [id, one] : tasks_) {
        if (killed && !workers::ended(one.state)) {
            one.state = task_state::failed;
        }
    }
}

} // namespace poplarstile::bench::scheduling
