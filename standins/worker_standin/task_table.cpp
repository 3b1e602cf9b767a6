#include "standins/worker_standin/task_table.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::standins::worker_standin
{
namespace
{

constexpr std::chrono::minutes finished_listed_for{10};
constexpr base::milliseconds failing_run_time{50};
constexpr double least_share = 1e-6;
/// Ids remembered by one worker; the oldest is forgotten first.
constexpr std::size_t max_known_tasks = 200'000;
constexpr std::chrono::hours longest_run{24 * 365};

} // namespace

std::string_view name_of(task_state state)
{
    switch (state) {
    case task_state::held:
        return "held";
    case task_state::running:
        return "running";
    case task_state::completed:
        return "completed";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        return "stopped";
    case task_state::expired:
        return "expired";
    }
    return "stopped";
}

std::string_view name_of(task_refusal reason)
{
    switch (reason) {
    case task_refusal::token:
        return "token";
    case task_refusal::known:
        return "known";
    case task_refusal::accelerators:
        return "accelerators";
    case task_refusal::broken:
        return "broken";
    case task_refusal::leaving:
        return "leaving";
    case task_refusal::unknown:
        return "unknown";
    }
    return "unknown";
}

task_table::task_table(std::string worker, std::uint32_t accelerators, record_book& records,
                       checkpoint_store& checkpoints)
    : worker_{std::move(worker)}, accelerators_{accelerators}, records_{records}, checkpoints_{
                                                                                      checkpoints}
{
}

task_answer task_table::reserve(const reserve_message& message, bool leaving, const instant& now)
{
    advance(now);
    if (auto refused = check_token(message.domain, message.token)) {
        return *refused;
    }
    if (known_ids_.contains(message.task)) {
        return task_refused{task_refusal::known, message.token};
    }
    if (leaving) {
        return task_refused{task_refusal::leaving, message.token};
    }
    if (auto refused = check_accelerators(message)) {
        return *refused;
    }
    entry fresh;
    fresh.message = message;
    fresh.lease_ends = now.steady + message.lease;
    fresh.progress = std::max(checkpoints_.load(message.job, message.member), message.resume);
    fresh.progress_at = now.steady;
    fresh.record = records_.add(task_record{.worker = worker_,
                                            .task = message.task,
                                            .job = message.job,
                                            .gang_size = message.gang_size,
                                            .member = message.member,
                                            .token = message.token,
                                            .domain = message.domain,
                                            .held_us = now.wall_us,
                                            .accelerators = message.accelerators});
    remember(message.task);
    const auto& stored = tasks_.insert_or_assign(message.task, std::move(fresh)).first->second;
    return view_of(stored, now.steady);
}

task_answer task_table::release(const std::string& task, std::uint64_t token, bool failing,
                                const instant& now)
{
    auto found = find(task, token, now);
    if (auto* const refused = std::get_if<task_refused>(&found)) {
        return *refused;
    }
    auto& current = *std::get<entry*>(found);
    if (current.state == task_state::held) {
        current.state = task_state::running;
        current.progress_at = now.steady;
        if (failing || uses_broken(current)) {
            current.message.fail = true;
            current.message.run_time = failing_run_time;
            current.progress = {};
        }
        records_.release_task(current.record, now.wall_us);
    }
    return view_of(current, now.steady);
}

task_answer task_table::checkpoint(const std::string& task, std::uint64_t token, const instant& now)
{
    auto found = find(task, token, now);
    if (auto* const refused = std::get_if<task_refused>(&found)) {
        return *refused;
    }
    auto& current = *std::get<entry*>(found);
    auto view = view_of(current, now.steady);
    if (!current.message.checkpointable) {
        view.progress = base::milliseconds{0};
    } else if (current.state == task_state::running) {
        checkpoints_.save(current.message.job, current.message.member, view.progress);
    }
    return view;
}

task_answer task_table::throttle(const std::string& task, std::uint64_t token, double share,
                                 const instant& now)
{
    auto found = find(task, token, now);
    if (auto* const refused = std::get_if<task_refused>(&found)) {
        return *refused;
    }
    auto& current = *std::get<entry*>(found);
    update_progress(current, now.steady);
    current.share = std::clamp(share, 0.0, 1.0);
    return view_of(current, now.steady);
}

task_answer task_table::stop(const std::string& task, std::uint64_t token, const instant& now)
{
    auto found = find(task, token, now);
    if (auto* const refused = std::get_if<task_refused>(&found)) {
        if (refused->reason != task_refusal::unknown) {
            return *refused;
        }
        remember(task);
        return task_view{.task = task};
    }
    auto& current = *std::get<entry*>(found);
    if (is_live(current)) {
        end(current, task_state::stopped, now);
    }
    return view_of(current, now.steady);
}

task_answer task_table::forget(const std::string& task, std::uint64_t token, const instant& now)
{
    auto found = find(task, token, now);
    if (auto* const refused = std::get_if<task_refused>(&found)) {
        return *refused;
    }
    const auto& current = *std::get<entry*>(found);
    auto view = view_of(current, now.steady);
    if (!is_live(current)) {
        tasks_.erase(task);
    }
    return view;
}

lease_answer task_table::renew(const std::string& domain, std::uint64_t token,
                               base::milliseconds lease, const instant& now)
{
    advance(now);
    if (auto refused = check_token(domain, token)) {
        return *refused;
    }
    lease_renewed renewed;
    for (auto& [id, task] : tasks_) {
        if (task.message.domain != domain) {
            continue;
        }
        if (is_live(task)) {
            task.lease_ends = now.steady + lease;
        }
        renewed.tasks.push_back(view_of(task, now.steady));
    }
    return renewed;
}

std::vector<task_view> task_table::list(const instant& now)
{
    advance(now);
    std::vector<task_view> views;
    for (const auto& [id, task] : tasks_) {
        views.push_back(view_of(task, now.steady));
    }
    return views;
}

void task_table::advance(const instant& now)
{
    for (auto next = tasks_.begin(); next != tasks_.end();) {
        auto& task = next->second;
        ++next;
        if (!is_live(task)) {
            if (task.ended_at + finished_listed_for < now.steady) {
                tasks_.erase(std::prev(next));
            }
            continue;
        }
        const auto done_at = completes_at(task);
        if (done_at <= now.steady && done_at <= task.lease_ends) {
            end(task, task.message.fail ? task_state::failed : task_state::completed, now);
        } else if (task.lease_ends <= now.steady) {
            end(task, task_state::expired, now);
        }
    }
}

std::optional<base::time_point> task_table::next_due() const
{
    std::optional<base::time_point> due;
    for (const auto& [id, task] : tasks_) {
        if (is_live(task)) {
            const auto ends = std::min(task.lease_ends, completes_at(task));
            due = due ? std::min(*due, ends) : ends;
        }
    }
    return due;
}

void task_table::set_broken(std::set<std::uint32_t> broken, const instant& now)
{
    advance(now);
    broken_ = std::move(broken);
    for (auto& [id, task] : tasks_) {
        if (uses_broken(task) && task.state == task_state::running) {
            end(task, task_state::failed, now);
        }
    }
}

bool task_table::uses_broken(const entry& task) const
{
    const auto& used = task.message.accelerators;
    return std::any_of(used.begin(), used.end(),
                       [this](std::uint32_t accelerator) { return broken_.contains(accelerator); });
}

void task_table::remember(const std::string& task)
{
    if (known_ids_.insert(task).second) {
        known_oldest_first_.push_back(task);
    }
    if (known_oldest_first_.size() > max_known_tasks) {
        known_ids_.erase(known_oldest_first_.front());
        known_oldest_first_.pop_front();
    }
}

void task_table::die(const instant& now)
{
    advance(now);
    for (auto& [id, task] : tasks_) {
        if (is_live(task)) {
            end(task, task_state::failed, now);
        }
    }
    tasks_.clear();
}

std::uint64_t task_table::accelerators_busy() const
{
    std::uint64_t busy = 0;
    for (const auto& [id, task] : tasks_) {
        busy += is_live(task) ? task.message.accelerators.size() : 0;
    }
    return busy;
}

bool task_table::is_live(const entry& task)
{
    return task.state == task_state::held || task.state == task_state::running;
}

task_view task_table::view_of(const entry& task, base::time_point now)
{
    auto current = task;
    update_progress(current, now);
    return {.task = task.message.task,
            .job = task.message.job,
            .gang_size = task.message.gang_size,
            .member = task.message.member,
            .accelerators = task.message.accelerators,
            .state = task.state,
            .progress = std::chrono::duration_cast<base::milliseconds>(current.progress)};
}

base::time_point task_table::completes_at(const entry& task)
{
    if (task.state != task_state::running || task.share < least_share) {
        return base::time_point::max();
    }
    const std::chrono::duration<double, std::micro> left =
        (task.message.run_time - task.progress) / task.share;
    if (left > longest_run) {
        return base::time_point::max();
    }
    return task.progress_at + std::chrono::duration_cast<base::microseconds>(left);
}

void task_table::update_progress(entry& task, base::time_point now)
{
    if (task.state == task_state::running) {
        const std::chrono::duration<double, std::micro> passed = now - task.progress_at;
        const std::chrono::duration<double, std::micro> whole = task.message.run_time;
        task.progress = std::min(whole, task.progress + passed * task.share);
        task.progress_at = now;
    }
}

std::optional<task_refused> task_table::check_token(const std::string& domain, std::uint64_t token)
{
    auto& greatest = greatest_tokens_[domain];
    if (token < greatest) {
        return task_refused{task_refusal::token, greatest};
    }
    greatest = token;
    return std::nullopt;
}

std::optional<task_refused> task_table::check_accelerators(const reserve_message& message)
{
    for (const auto wanted : message.accelerators) {
        if (wanted >= accelerators_) {
            return task_refused{task_refusal::accelerators, message.token};
        }
        if (broken_.contains(wanted)) {
            return task_refused{task_refusal::broken, message.token};
        }
        for (const auto& [id, task] : tasks_) {
            const auto& used = task.message.accelerators;
            if (is_live(task) && std::find(used.begin(), used.end(), wanted) != used.end()) {
                return task_refused{task_refusal::accelerators, message.token};
            }
        }
    }
    return std::nullopt;
}

std::variant<task_table::entry*, task_refused>
task_table::find(const std::string& task, std::uint64_t token, const instant& now)
{
    advance(now);
    const auto found = tasks_.find(task);
    if (found == tasks_.end()) {
        return task_refused{task_refusal::unknown, 0};
    }
    if (auto refused = check_token(found->second.message.domain, token)) {
        return *refused;
    }
    return &found->second;
}

void task_table::end(entry& task, task_state state, const instant& now)
{
    update_progress(task, now.steady);
    task.state = state;
    task.ended_at = now.steady;
    const auto progress = std::chrono::duration_cast<base::milliseconds>(task.progress);
    records_.end_task(task.record, name_of(state), progress.count(), now.wall_us);
}

} // namespace poplarstile::standins::worker_standin
