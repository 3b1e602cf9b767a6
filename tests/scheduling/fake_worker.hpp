#pragma once

#include "workers/worker_messages.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

/// A worker that keeps to docs/ASSUMPTIONS.md: leases, tokens, held and released.
namespace poplarstile::scheduling::testing
{

using base::milliseconds;
using base::time_point;
using workers::task_state;

struct fake_task {
    workers::hold_call call{};
    task_state state = task_state::held;
    time_point lease_ends{};
    time_point started_at{};
    milliseconds run_time{0};
    /// When it ended otherwise than completed.
    time_point lost_at{};
    bool was_started = false;
};

class fake_worker
{
public:
    workers::task_answer hold(const workers::hold_call& call, time_point now)
    {
        advance(now);
        if (call.token < greatest_) {
            return refused("token");
        }
        greatest_ = call.token;
        if (!known_.insert(call.task).second) {
            return refused("known");
        }
        for (const auto& [id, other] : tasks) {
            const auto& used = other.call.accelerators;
            const bool shares = std::ranges::any_of(call.accelerators, [&used](auto at) {
                return std::ranges::find(used, at) != used.end();
            });
            if (!workers::ended(other.state) && shares) {
                return refused("accelerators");
            }
        }
        fake_task task{.call = call, .lease_ends = now + call.lease};
        const auto payload = call.payload.value();
        task.run_time = milliseconds{payload.value("run_ms", 100) - payload.value("resume_ms", 0)};
        tasks[call.task] = task;
        return accepted(task);
    }

    workers::task_answer order(const std::string& id, const std::string& what,
                               workers::fencing_token token, time_point now)
    {
        advance(now);
        const auto found = tasks.find(id);
        if (token < greatest_) {
            return refused("token");
        }
        greatest_ = token;
        if (found == tasks.end()) {
            if (what == "stop") {
                known_.insert(id);
                return {workers::task_answer::kind::accepted, task_state::stopped, "", {}};
            }
            return refused("unknown");
        }
        auto& task = found->second;
        if (what == "release" && task.state == task_state::held) {
            task.state = task_state::running;
            task.started_at = now;
            task.was_started = true;
        } else if (what == "stop" && !workers::ended(task.state)) {
            end(task, task_state::stopped, now);
        }
        auto answer = accepted(task);
        if (what == "checkpoint" && task.call.checkpointable) {
            answer.progress = milliseconds{task.call.payload.value().value("resume_ms", 0)} +
                              std::chrono::duration_cast<milliseconds>(now - task.started_at);
        }
        if (what == "forget" && workers::ended(task.state)) {
            forgotten[id] = task;
            tasks.erase(found);
        }
        return answer;
    }

    workers::lease_answer renew(workers::fencing_token token, milliseconds lease, time_point now)
    {
        advance(now);
        if (token < greatest_) {
            return {workers::lease_answer::kind::refused, greatest_, {}};
        }
        greatest_ = token;
        for (auto& [id, task] : tasks) {
            if (!workers::ended(task.state)) {
                task.lease_ends = now + lease;
            }
        }
        return list(now);
    }

    workers::lease_answer list(time_point now)
    {
        advance(now);
        workers::lease_answer answer{workers::lease_answer::kind::renewed, greatest_, {}};
        for (const auto& [id, task] : tasks) {
            answer.report.tasks.push_back({id, task.call.job, task.call.gang_size, task.call.member,
                                           task.call.accelerators, task.state, milliseconds{0}});
        }
        return answer;
    }

    /// Loses all tasks; ids and tokens stay known.
    void restart(time_point now)
    {
        advance(now);
        for (auto& [id, task] : tasks) {
            if (!workers::ended(task.state)) {
                end(task, task_state::failed, now);
            }
            forgotten[id] = task;
        }
        tasks.clear();
    }

    void advance(time_point now)
    {
        for (auto& [id, task] : tasks) {
            const auto done = task.started_at + task.run_time;
            const bool finishes = task.state == task_state::running && done <= now;
            if (finishes && done <= task.lease_ends) {
                const bool fails = task.call.payload.value().value("fail", false);
                task.state = fails ? task_state::failed : task_state::completed;
                task.lost_at = done;
            } else if (!workers::ended(task.state) && task.lease_ends <= now) {
                end(task, task_state::expired, task.lease_ends);
            }
        }
    }

    std::map<std::string, fake_task> tasks{};
    /// What the worker does not list any more, for the test's checks.
    std::map<std::string, fake_task> forgotten{};

private:
    static workers::task_answer refused(std::string reason)
    {
        return {workers::task_answer::kind::refused, task_state::absent, std::move(reason), {}};
    }
    static workers::task_answer accepted(const fake_task& task)
    {
        return {workers::task_answer::kind::accepted, task.state, "", milliseconds{0}};
    }
    static void end(fake_task& task, task_state state, time_point when)
    {
        task.state = state;
        task.lost_at = when;
    }

    workers::fencing_token greatest_ = 0;
    std::set<std::string> known_{};
};

} // namespace poplarstile::scheduling::testing
