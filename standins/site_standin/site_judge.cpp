#include "standins/site_standin/site_judge.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace poplarstile::standins::site_standin
{
namespace
{

std::string job_of(const std::string& task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

const step_script* site_judge::step_of(const std::string& task) const
{
    const auto id = batch::parse_task_id(task);
    const auto found = id ? scripts_.find(id->job) : scripts_.end();
    if (found == scripts_.end() || id->step >= found->second.steps.size()) {
        return nullptr;
    }
    return &found->second.steps.at(id->step);
}

void site_judge::started(const fleet::start_order& order)
{
    const auto task = batch::to_text(order.task);
    ++starts_[order.task.job];
    auto script = parse_payload(order.payload);
    if (!script) {
        violations_.push_back(fmt::format("{}: started with a payload of nobody", task));
        return;
    }
    check_asked(order, *script);
    scripts_.try_emplace(order.task.job, *std::move(script));
    check_not_done(task);
    check_attempts(task);
    check_crashes(task);
    if (const auto* const step = step_of(task)) {
        check_steps_before(order.task, *step);
    }
}

void site_judge::check_asked(const fleet::start_order& order, const job_script& script)
{
    const bool known_step = order.task.step < script.steps.size();
    const bool asked = script.job == order.task.job && known_step &&
                       order.task.index < script.steps.at(order.task.step).tasks;
    if (!asked) {
        violations_.push_back(
            fmt::format("{}: nobody asked for this task", batch::to_text(order.task)));
    }
}

void site_judge::check_not_done(const std::string& task)
{
    if (known_done_.contains(task)) {
        violations_.push_back(fmt::format("{}: started after its end was acknowledged", task));
    }
    for (const auto& [worker, tasks] : unacknowledged_) {
        if (tasks.contains(task)) {
            started_after_done_[worker].insert(task);
        }
    }
}

void site_judge::check_steps_before(const batch::task_id& task, const step_script& step)
{
    const auto& script = scripts_.at(task.job);
    for (const auto earlier : step.after) {
        for (std::uint32_t index = 0; index < script.steps.at(earlier).tasks; ++index) {
            const auto before = batch::to_text({task.job, task.occurrence, earlier, index});
            if (!done_.contains(before)) {
                violations_.push_back(
                    fmt::format("{}: started before {} was done", batch::to_text(task), before));
            }
        }
    }
}

void site_judge::check_attempts(const std::string& task)
{
    const auto failures = known_failures_.find(task);
    if (failures != known_failures_.end() && failures->second >= max_attempts_) {
        violations_.push_back(
            fmt::format("{}: started after {} failed runs", task, failures->second));
    }
}

void site_judge::check_crashes(const std::string& task)
{
    const auto found = crashes_.find(task);
    if (found == crashes_.end() || found->second.crashes < crashes_that_bound) {
        return;
    }
    if (++found->second.starts_after_limit > starts_after_crashes) {
        violations_.push_back(
            fmt::format("{}: started after it crashed {} workers", task, found->second.crashes));
    }
}

void site_judge::crashed_its_worker(const std::string& task)
{
    ++crashes_[task].crashes;
}

void site_judge::ended(const std::string& worker, const fleet::ended_task& ended)
{
    if (ended.how != batch::run_end::done) {
        return;
    }
    const auto task = batch::to_text(ended.task);
    done_.insert(task);
    unacknowledged_[worker].insert(task);
}

void site_judge::acknowledged(const std::string& worker, const fleet::ended_task& ended)
{
    const auto task = batch::to_text(ended.task);
    if (ended.how == batch::run_end::failed) {
        ++known_failures_[task];
        return;
    }
    const bool counts =
        ended.how == batch::run_end::done && unacknowledged_[worker].erase(task) > 0;
    if (!counts) {
        return;
    }
    known_done_.insert(task);
    if (started_after_done_[worker].contains(task)) {
        violations_.push_back(
            fmt::format("{}: started after it was done, and that end was acknowledged", task));
    }
}

std::map<std::string, std::uint64_t> site_judge::crashes() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& [task, count] : crashes_) {
        counts[job_of(task)] += count.crashes;
    }
    return counts;
}

std::map<std::string, std::uint64_t> site_judge::done_tasks() const
{
    std::map<std::string, std::uint64_t> counts;
    for (const auto& task : done_) {
        ++counts[job_of(task)];
    }
    return counts;
}

void site_judge::forgot_ends(const std::string& worker)
{
    unacknowledged_.erase(worker);
    started_after_done_.erase(worker);
}

} // namespace poplarstile::standins::site_standin
