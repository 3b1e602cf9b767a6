#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <tuple>

/// What the scheduler shows of itself.
namespace poplarstile::scheduling
{
namespace
{

constexpr std::array<rules::shape, 6> shown_shapes{
    {{1, 1}, {1, 4}, {1, 8}, {2, 8}, {4, 8}, {8, 8}}};
constexpr rules::shape default_next_shape{1, 8};

} // namespace

scheduler_counters scheduler::counters() const
{
    auto counters = counters_;
    for (const auto& [id, job] : jobs_) {
        counters.queued += job.state == job_state::queued ? 1 : 0;
        counters.starting += job.state == job_state::starting ? 1 : 0;
        counters.running += job.state == job_state::running ? 1 : 0;
    }
    for (const auto& demand : allocation_.unmet()) {
        counters.guarantees_unmet += demand.count;
    }
    return counters;
}

std::vector<worker_view> scheduler::workers() const
{
    std::vector<worker_view> views;
    for (const auto& worker : workers_) {
        const bool healthy = worker.condition == worker_condition::healthy;
        const auto* const state = !healthy ? "silent" : worker.leaving ? "leaving" : "healthy";
        views.push_back(
            {worker.description.id, state, allocation_.free_accelerators_of(index_of(worker))});
    }
    return views;
}

std::vector<job_view> scheduler::jobs() const
{
    std::vector<job_view> views;
    views.reserve(jobs_.size());
    // Jobs that the allocation can't tell apart wait for the same.
    std::map<std::tuple<std::string_view, rules::shape, bool>, job_reason> reasons;
    for (const auto& [id, job] : jobs_) {
        views.push_back(view_of(job));
        auto& reason = views.back().reason;
        if (!waits_for_place(job)) {
            reason = reason_of(job);
            continue;
        }
        const auto request = request_of(job);
        const auto [known, added] = reasons.try_emplace(
            {job.stored.spec.workspace, request.shape, request.stoppable}, job_reason{});
        if (added) {
            known->second = place_reason_of(job);
        }
        reason = known->second;
    }
    return views;
}

std::optional<job_view> scheduler::find_job(std::string_view id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    auto view = view_of(found->second);
    view.reason = reason_of(found->second);
    return view;
}

job_view scheduler::view_of(const job_record& job) const
{
    return {.spec = job.stored.spec,
            .state = job.state,
            .detail = job.detail,
            .started_us = job.started_us,
            .attempts = job.attempts,
            .guaranteed = allocation_.guarantee_level_of(job.sequence).has_value(),
            .attained = attained_by(job),
            .reason = {},
            .history = job.history};
}

job_reason scheduler::reason_of(const job_record& job) const
{
    if (final_state(job.state) || job.state == job_state::running) {
        return {};
    }
    if (job.attempt) {
        const bool stops = job.attempt->phase() == gang_phase::stopping;
        const bool stored = job.attempt->phase() == gang_phase::held;
        return {.waits_for = stops    ? "all members of its last attempt to stop"
                             : stored ? "the table to store its release"
                                      : "all its workers to confirm",
                .would_change = "answers of its workers, or the lapse of their leases"};
    }
    if (allocation_.claim_of(job.sequence) != placement::allocation::claim_state::none) {
        return {.waits_for = "work that gives way to its workspace's guarantee",
                .would_change =
                    fmt::format("the stop of that work, within {} ms", reclaim_bound.count())};
    }
    if (now_ < job.retry_at) {
        return {.waits_for = "its next attempt", .would_change = "the end of its backoff"};
    }
    return place_reason_of(job);
}

bool scheduler::waits_for_place(const job_record& job) const
{
    return job.state == job_state::queued && !allocation_.has(job.sequence) && now_ >= job.retry_at;
}

job_reason scheduler::place_reason_of(const job_record& job) const
{
    const auto wait = allocation_.explain(request_of(job));
    job_reason reason{.rule = wait.rule};
    for (const auto blocker : wait.blocked_by) {
        const auto found = works_.find(blocker);
        if (found != works_.end()) {
            reason.blocked_by.push_back(found->second->stored.spec.id);
        }
    }
    const auto shape = to_string(job.stored.spec.shape);
    switch (wait.cause) {
    case placement::wait_cause::hardware:
        reason.waits_for = fmt::format("{} adjacent on workers that are well", shape);
        reason.would_change = "the return of workers that are silent, leaving, avoided or broken";
        break;
    case placement::wait_cause::occupied:
        reason.waits_for = fmt::format("{} adjacent and free", shape);
        reason.would_change = "the end of the jobs that block it, or a greater guarantee";
        break;
    case placement::wait_cause::guarantee_of_others:
        reason.waits_for = fmt::format("{} that no guarantee of others needs", shape);
        reason.would_change = "more free cells, or the job being checkpointable and idempotent";
        break;
    }
    return reason;
}

room_view scheduler::room() const
{
    room_view view{.free_accelerators = allocation_.free_accelerators()};
    for (const auto& shape : shown_shapes) {
        view.shapes.push_back(
            {shape, allocation_.free_cells(shape), allocation_.reclaimable_cells(shape)});
        if (view.shapes.back().free > 0) {
            view.largest_free = shape;
        }
    }
    auto next = default_next_shape;
    for (const auto& instance : allocation_.guarantees()) {
        if (!instance.bound && instance.shape.total() > next.total()) {
            next = instance.shape;
        }
    }
    view.unusable_share = allocation_.fragmentation(next);
    return view;
}

} // namespace poplarstile::scheduling
