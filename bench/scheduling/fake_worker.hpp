#pragma once

#include "workers/worker_messages.hpp"

#include <map>
#include <string>

/// A worker in virtual time, at the interface of docs/ASSUMPTIONS.md.
namespace poplarstile::bench::scheduling
{

/// What becomes of a task that runs to its end.
struct task_fate {
    base::milliseconds run{0};
    bool fails = false;
    bool kills_worker = false;
};

class fake_worker
{
public:
    struct task {
        workers::hold_call call{};
        task_fate fate{};
        workers::task_state state = workers::task_state::held;
        base::milliseconds started{0};
        base::milliseconds lease_ends{0};
        base::milliseconds resumed_from{0};
    };

    workers::task_answer hold(const workers::hold_call& call, const task_fate& fate,
                              base::milliseconds now);
    /// `what` is `release`, `checkpoint`, `stop` or `forget`.
    workers::task_answer order(const std::string& id, const std::string& what,
                               base::milliseconds now);
    workers::lease_answer renew(base::milliseconds lease, base::milliseconds now);
    /// Lets the tasks that are due end.
    void advance(base::milliseconds now);

    [[nodiscard]] const std::map<std::string, task>& tasks() const
    {
        return tasks_;
    }

private:
    void end_due_task(task& one, base::milliseconds now);

    std::map<std::string, task> tasks_{};
};

} // namespace poplarstile::bench::scheduling
