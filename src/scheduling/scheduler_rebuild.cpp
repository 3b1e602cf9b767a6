#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>
#include <utility>

/// How a new scheduler takes over what its workers run.
namespace poplarstile::scheduling
{
namespace
{

/// What a task id of `hold_member` says: `JOB.TOKEN.ATTEMPT[gLEVEL].MEMBER`.
struct task_name {
    std::uint64_t token = 0;
    std::uint32_t attempt = 0;
    std::optional<std::uint32_t> guarantee_level{};
};

template <class Number>
Number leading_number(std::string_view text)
{
    Number value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

task_name read_task_name(std::string_view task)
{
    std::array<std::string_view, 3> parts{};
    for (auto& part : parts) {
        const auto dot = task.rfind('.');
        if (dot == std::string_view::npos) {
            return {};
        }
        part = task.substr(dot + 1);
        task = task.substr(0, dot);
    }
    const auto& attempt = parts[1];
    task_name name{
        leading_number<std::uint64_t>(parts[2]), leading_number<std::uint32_t>(attempt), {}};
    if (const auto level = attempt.find('g'); level != std::string_view::npos) {
        name.guarantee_level = leading_number<std::uint32_t>(attempt.substr(level + 1));
    }
    return name;
}

} // namespace

/// The tasks of one attempt as the workers report them.
struct scheduler::found_attempt {
    std::uint64_t token = 0;
    std::uint32_t attempt = 0;
    std::optional<std::uint32_t> guarantee_level{};
    std::uint32_t gang_size = 0;
    std::vector<gang_member> members{};

    [[nodiscard]] bool live() const
    {
        return std::ranges::any_of(
            members, [](const gang_member& member) { return !workers::ended(member.state); });
    }
};

void scheduler::finish_rebuilding_if_ready()
{
    // What runs on a worker that was not heard is not known until its leases have run out.
    const bool runs_known = std::ranges::all_of(workers_, [this](const worker_state& worker) {
        return worker.heard_at >= lease_gained_at_ || leases_lapsed(worker);
    });
    if (!jobs_known_ || !runs_known) {
        return;
    }
    phase_ = phase::active;
    auto attempts = find_attempts();
    for (auto& [id, job] : jobs_) {
        rebuild_job(job, attempts[id]);
    }
    for (auto& worker : workers_) {
        for (const auto& task : worker.last_report) {
            stop_orphan(worker, task);
        }
        refresh_usable(worker);
    }
    out_.emplace_back(note_event{"scheduler.active", "scheduler/" + options_.failure_domain, "",
                                 fmt::format("token {} jobs {}", token_, jobs_.size())});
    place_again_ = true;
}

scheduler::found_attempts scheduler::find_attempts() const
{
    found_attempts attempts;
    for (const auto& worker : workers_) {
        for (const auto& task : worker.last_report) {
            const auto name = read_task_name(task.task);
            auto& of_job = attempts[task.job];
            auto found = std::ranges::find_if(of_job, [&name](const found_attempt& attempt) {
                return attempt.token == name.token && attempt.attempt == name.attempt;
            });
            if (found == of_job.end()) {
                of_job.push_back(
                    {name.token, name.attempt, name.guarantee_level, task.gang_size, {}});
                found = std::prev(of_job.end());
            }
            found->members.push_back({.task = task.task,
                                      .worker = index_of(worker),
                                      .accelerators = task.accelerators,
                                      .state = task.state});
        }
    }
    return attempts;
}

void scheduler::rebuild_job(job_record& job, std::vector<found_attempt>& found)
{
    // The newest attempt that lives, else the newest; tasks of the others are stopped as orphans.
    const auto newest =
        std::ranges::max_element(found, [](const found_attempt& left, const found_attempt& right) {
            return std::tuple{left.live(), left.token, left.attempt} <
                   std::tuple{right.live(), right.token, right.attempt};
        });
    if (newest == found.end()) {
        settle_new_job(job);
        return;
    }
    adopt(job, *newest);
}

void scheduler::adopt(job_record& job, const found_attempt& found)
{
    job.attempts = found.attempt;
    std::vector<placement::member_place> live;
    for (const auto& member : found.members) {
        task_jobs_[member.task] = job.stored.spec.id;
        workers_[member.worker].tasks.insert(member.task);
        if (!workers::ended(member.state)) {
            live.push_back({member.worker, member.accelerators});
        }
    }
    allocation_.adopt(request_of(job), live, found.guarantee_level);
    job.attempt = gang::adopt(found.members, found.gang_size, job.stored.released, now_);
    queue_.add_use(job.stored.spec.workspace, job.stored.spec.shape.total());
    job.state = job_state::starting;
    job.detail = "found on its workers";
    const bool whole = found.members.size() == found.gang_size;
    note("job.adopted", job, whole ? "whole" : "in part");
    if (job.stored.cancel_requested) {
        job.attempt->stop(stop_cause::cancelled, now_);
    }
    drive(job);
    if (job.attempt && job.attempt->phase() == gang_phase::releasing) {
        release_members(job);
    }
}

} // namespace poplarstile::scheduling
