#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::scheduling
{
namespace
{

using workers::task_state;

/// Beyond the lease, for clocks of workers that run slow.
constexpr base::milliseconds lease_margin{200};
constexpr base::milliseconds write_retry{500};
/// Orders that were not confirmed are given again after this time.
constexpr base::milliseconds order_retry{300};

} // namespace

scheduler::scheduler(const scheduler_options& options, std::span<const worker_description> workers)
    : options_{options}
{
    for (const auto& worker : workers) {
        worker_state state;
        state.description = worker;
        state.broken.resize(worker.accelerators);
        state.occupant.resize(worker.accelerators);
        workers_.push_back(std::move(state));
    }
    std::ranges::sort(workers_, [](const worker_state& left, const worker_state& right) {
        return std::tie(left.description.rack, left.description.position) <
               std::tie(right.description.rack, right.description.position);
    });
}

actions scheduler::decide(event happened, base::time_point now)
{
    now_ = now;
    out_.clear();
    std::visit([this](auto& occurred) { handle(occurred); }, happened);
    if (phase_ == phase::rebuilding) {
        finish_rebuilding_if_ready();
    }
    if (phase_ == phase::active && place_again_) {
        place_again_ = false;
        place_queued();
    }
    return std::exchange(out_, {});
}

// The lease.

void scheduler::handle(lease_gained& happened)
{
    handle(*std::make_unique<lease_lost>());
    phase_ = phase::rebuilding;
    token_ = happened.token;
    lease_key_ = std::move(happened.lease_key);
    lease_version_ = happened.lease_version;
    lease_gained_at_ = now_;
    scanned_at_ = now_;
    out_.emplace_back(scan_jobs{});
    contact_workers();
}

void scheduler::handle(lease_lost& /*event*/)
{
    phase_ = phase::inactive;
    jobs_.clear();
    task_jobs_.clear();
    jobs_known_ = false;
    for (auto& worker : workers_) {
        worker.condition = worker_condition::unknown;
        worker.answer_pending = false;
        std::ranges::fill(worker.occupant, std::string{});
        worker.last_report.clear();
    }
}

void scheduler::finish_rebuilding_if_ready()
{
    const bool all_heard = std::ranges::all_of(workers_, [](const worker_state& worker) {
        return worker.condition != worker_condition::unknown;
    });
    const bool waited = now_ - lease_gained_at_ >= options_.worker_heartbeat * 2;
    if (!jobs_known_ || !(all_heard || waited)) {
        return;
    }
    phase_ = phase::active;
    for (auto& [id, job] : jobs_) {
        rebuild_job(job);
    }
    for (const auto& worker : workers_) {
        for (const auto& task : worker.last_report) {
            stop_orphan(worker, task);
        }
    }
    out_.emplace_back(note_event{"scheduler.active", "scheduler/" + options_.failure_domain, "",
                                 fmt::format("token {} jobs {}", token_, jobs_.size())});
    place_again_ = true;
}

void scheduler::rebuild_job(job_record& job)
{
    std::vector<gang_member> members;
    std::uint32_t gang_size = 0;
    for (auto& worker : workers_) {
        for (const auto& task : worker.last_report) {
            if (task.job != job.stored.spec.id) {
                continue;
            }
            gang_size = task.gang_size;
            members.push_back({.task = task.task,
                               .worker = index_of(worker),
                               .accelerators = task.accelerators,
                               .state = task.state});
            task_jobs_[task.task] = job.stored.spec.id;
            if (!workers::ended(task.state)) {
                for (const auto at : task.accelerators) {
                    worker.occupant.at(at) = task.task;
                }
            }
        }
    }
    if (members.empty()) {
        if (job.stored.released) {
            finish_job(job, job_state::unknown, "released before the scheduler was replaced");
        }
        return;
    }
    const bool whole = members.size() == gang_size;
    const bool none_held = std::ranges::none_of(
        members, [](const gang_member& member) { return member.state == task_state::held; });
    job.attempt = gang::adopt(std::move(members), now_);
    job.attempts = 1;
    job.state = job_state::running;
    note("job.adopted", job, whole ? "whole" : "in part");
    if (!whole || !none_held) {
        job.attempt->stop(stop_cause::member_lost, now_);
    }
    drive(job);
}

// Workers.

void scheduler::contact_workers()
{
    for (auto& worker : workers_) {
        const bool due = now_ - worker.asked_at >= options_.worker_heartbeat;
        if (!due || worker.answer_pending) {
            continue;
        }
        worker.answer_pending = true;
        worker.asked_at = now_;
        const bool may_renew = worker.condition == worker_condition::healthy ||
                               worker.condition == worker_condition::unknown;
        if (may_renew) {
            worker.renewed_at = now_;
            out_.emplace_back(
                renew_worker{worker.description.id, worker.description.address, token_});
        } else {
            out_.emplace_back(probe_worker{worker.description.id, worker.description.address});
        }
    }
}

void scheduler::handle(worker_reported& happened)
{
    auto* const worker = find_worker(happened.worker);
    if (worker == nullptr || phase_ == phase::inactive) {
        return;
    }
    worker->answer_pending = false;
    switch (happened.answer.result) {
    case workers::lease_answer::kind::refused:
        if (happened.answer.greatest > token_) {
            out_.emplace_back(step_down{"a worker has seen a newer token"});
        }
        return;
    case workers::lease_answer::kind::lost:
        note_silence(*worker);
        return;
    case workers::lease_answer::kind::renewed:
        take_report(*worker, happened.answer.report);
        return;
    }
}

void scheduler::note_silence(worker_state& worker)
{
    if (worker.condition == worker_condition::unknown) {
        worker.condition = worker_condition::silent;
        return;
    }
    const bool was_healthy = worker.condition == worker_condition::healthy;
    if (was_healthy && now_ - worker.heard_at >= options_.worker_lease / 2) {
        worker.condition = worker_condition::silent;
        out_.emplace_back(
            note_event{"worker.silent", "worker/" + worker.description.id, "", "renewals stop"});
    }
}

void scheduler::take_report(worker_state& worker, const workers::lease_report& report)
{
    if (worker.condition != worker_condition::healthy) {
        out_.emplace_back(note_event{"worker.heard", "worker/" + worker.description.id, "", ""});
        place_again_ = true;
    }
    worker.condition = worker_condition::healthy;
    worker.heard_at = now_;
    worker.leaving = report.leaving;
    worker.last_report = report.tasks;
    worker.broken.assign(worker.broken.size(), false);
    for (const auto at : report.broken_accelerators) {
        if (at < worker.broken.size()) {
            worker.broken[at] = true;
        }
    }
    if (phase_ != phase::active) {
        return;
    }
    for (const auto& task : report.tasks) {
        const auto owner = task_jobs_.find(task.task);
        if (owner == task_jobs_.end()) {
            stop_orphan(worker, task);
            continue;
        }
        auto& job = jobs_.at(owner->second);
        job.attempt->record_state(task.task, task.state, now_);
        drive(job);
    }
}

void scheduler::stop_orphan(const worker_state& worker, const workers::task_report& task)
{
    if (task_jobs_.contains(task.task)) {
        return;
    }
    const auto* const order = workers::ended(task.state) ? "forget" : "stop";
    out_.emplace_back(order_task{worker.description.address, task.task, order, token_});
}

scheduler::worker_state* scheduler::find_worker(std::string_view id)
{
    const auto found = std::ranges::find_if(
        workers_, [id](const worker_state& worker) { return worker.description.id == id; });
    return found == workers_.end() ? nullptr : &*found;
}

std::size_t scheduler::index_of(const worker_state& worker) const
{
    return static_cast<std::size_t>(&worker - workers_.data());
}

// Jobs.

void scheduler::handle(jobs_listed& happened)
{
    if (phase_ == phase::inactive) {
        return;
    }
    jobs_known_ = true;
    for (auto& job : happened.jobs) {
        add_job(std::move(job));
    }
}

void scheduler::handle(job_submitted& happened)
{
    if (phase_ != phase::inactive) {
        add_job(std::move(happened.job));
    }
}

void scheduler::add_job(stored_job job)
{
    const auto id = job.spec.id;
    const bool cancelled = job.cancel_requested;
    auto [entry, added] = jobs_.try_emplace(id);
    auto& record = entry->second;
    if (added) {
        record.stored = std::move(job);
        record.sequence = next_sequence_++;
        record.queued_since = now_;
        place_again_ = true;
        if (phase_ == phase::active && record.stored.released) {
            finish_job(record, job_state::unknown, "released before the scheduler was replaced");
            return;
        }
    } else if (job.version > record.stored.version) {
        record.stored.version = job.version;
        record.stored.cancel_requested = job.cancel_requested;
    }
    if (cancelled) {
        cancel_requested request{id};
        handle(request);
        return;
    }
    if (added && !can_ever_fit(record.stored.spec.shape)) {
        finish_job(record, job_state::rejected, "no rack has room for this shape");
    }
}

void scheduler::handle(cancel_requested& happened)
{
    const auto found = jobs_.find(happened.job);
    if (found == jobs_.end() || phase_ != phase::active) {
        return;
    }
    auto& job = found->second;
    job.stored.cancel_requested = true;
    if (final_state(job.state)) {
        return;
    }
    if (!job.attempt) {
        finish_job(job, job_state::cancelled, "cancelled while queued");
        return;
    }
    job.attempt->stop(stop_cause::cancelled, now_);
    drive(job);
}

bool scheduler::can_ever_fit(const rules::shape& shape) const
{
    std::vector<worker_capacity> empty;
    for (const auto& worker : workers_) {
        empty.push_back({.rack = worker.description.rack,
                         .position = worker.description.position,
                         .accelerators = worker.description.accelerators,
                         .free = std::vector<bool>(worker.description.accelerators, true)});
    }
    return find_adjacent_places(empty, shape).has_value();
}

std::vector<worker_capacity> scheduler::free_capacity() const
{
    std::vector<worker_capacity> capacities;
    for (const auto& worker : workers_) {
        worker_capacity capacity{.rack = worker.description.rack,
                                 .position = worker.description.position,
                                 .accelerators = worker.description.accelerators};
        for (std::size_t at = 0; at < worker.occupant.size(); ++at) {
            capacity.free.push_back(worker.occupant[at].empty() && !worker.broken[at]);
        }
        capacity.usable =
            worker.condition == worker_condition::healthy && !worker.leaving && !worker.avoided;
        capacities.push_back(std::move(capacity));
    }
    return capacities;
}

std::vector<std::string> scheduler::placement_order() const
{
    std::vector<const job_record*> waiting;
    for (const auto& [id, job] : jobs_) {
        const bool waits = job.state == job_state::queued && !job.attempt && job.writing.empty();
        if (waits) {
            waiting.push_back(&job);
        }
    }
    const auto urgent = [this](const job_record& job) {
        const auto* kind = rules_->find_class(job.stored.spec.class_name);
        return kind != nullptr && kind->urgent_within.has_value();
    };
    std::ranges::stable_sort(waiting, [&](const job_record* left, const job_record* right) {
        if (urgent(*left) != urgent(*right)) {
            return urgent(*left);
        }
        const auto& one = left->stored.spec.class_name;
        const auto& other = right->stored.spec.class_name;
        if (rules_->goes_before(one, other) != rules_->goes_before(other, one)) {
            return rules_->goes_before(one, other);
        }
        return left->sequence < right->sequence;
    });
    std::vector<std::string> order;
    for (const auto* job : waiting) {
        order.push_back(job->stored.spec.id);
    }
    return order;
}

void scheduler::place_queued()
{
    for (const auto& id : placement_order()) {
        (void)try_place(jobs_.find(id)->second);
    }
}

bool scheduler::try_place(job_record& job)
{
    const auto places = find_adjacent_places(free_capacity(), job.stored.spec.shape);
    if (!places) {
        job.detail = "waits for adjacent free accelerators";
        return false;
    }
    const auto& spec = job.stored.spec;
    ++job.attempts;
    ++counters_.placements;
    std::vector<gang_member> members;
    for (std::uint32_t member = 0; member < places->size(); ++member) {
        const auto& place = (*places)[member];
        auto& worker = workers_[place.worker];
        auto task = fmt::format("{}.{}.{}.{}", spec.id, token_, job.attempts, member);
        for (const auto at : place.accelerators) {
            worker.occupant[at] = task;
        }
        task_jobs_[task] = spec.id;
        out_.emplace_back(hold_task{worker.description.address,
                                    {.token = token_,
                                     .failure_domain = options_.failure_domain,
                                     .task = task,
                                     .job = spec.id,
                                     .gang_size = spec.shape.members,
                                     .member = member,
                                     .accelerators = place.accelerators,
                                     .lease = options_.worker_lease,
                                     .checkpointable = spec.checkpointable,
                                     .payload = spec.payload}});
        members.push_back(
            {.task = std::move(task), .worker = place.worker, .accelerators = place.accelerators});
    }
    job.attempt = gang{std::move(members), now_};
    job.state = job_state::starting;
    job.detail = "members are being held";
    note("job.placed", job, workers_[places->front().worker].description.id);
    return true;
}

void scheduler::handle(task_answered& happened)
{
    const auto owner = task_jobs_.find(happened.task);
    if (phase_ != phase::active || owner == task_jobs_.end()) {
        return;
    }
    auto& job = jobs_.at(owner->second);
    using kind = workers::task_answer::kind;
    if (happened.answer.result == kind::accepted) {
        job.attempt->record_state(happened.task, happened.answer.state, now_);
    } else if (happened.order == "hold") {
        const bool surely_absent =
            happened.answer.result == kind::not_sent ||
            (happened.answer.result == kind::refused && happened.answer.reason != "known");
        if (surely_absent) {
            job.attempt->record_refusal(happened.task, now_);
        } else {
            job.attempt->stop(stop_cause::member_refused, now_);
        }
    } else if (happened.order == "release") {
        job.attempt->stop(stop_cause::member_lost, now_);
    }
    drive(job);
}

/// Carries out what the phase of the job's gang asks for.
void scheduler::drive(job_record& job)
{
    if (!job.attempt || final_state(job.state)) {
        return;
    }
    switch (job.attempt->phase()) {
    case gang_phase::holding:
        return;
    case gang_phase::held:
        if (job.stored.spec.idempotent || job.stored.released) {
            release_members(job);
        } else if (job.writing.empty()) {
            write_released(job);
        }
        return;
    case gang_phase::releasing:
        return;
    case gang_phase::running:
        if (job.state != job_state::running) {
            job.state = job_state::running;
            job.started_us = base::wall_clock_us();
            job.detail = "all members run";
            note("job.running", job, "");
        }
        return;
    case gang_phase::stopping:
        stop_members(job);
        return;
    case gang_phase::ended:
        finish_attempt(job);
        return;
    }
}

void scheduler::release_members(job_record& job)
{
    job.attempt->begin_release(now_);
    for (const auto& member : job.attempt->members()) {
        out_.emplace_back(order_task{workers_[member.worker].description.address, member.task,
                                     "release", token_});
    }
}

void scheduler::stop_members(const job_record& job)
{
    for (const auto& member : job.attempt->members()) {
        if (!member.settled) {
            out_.emplace_back(order_task{workers_[member.worker].description.address, member.task,
                                         "stop", token_});
        }
    }
}

void scheduler::finish_attempt(job_record& job)
{
    free_accelerators(job);
    place_again_ = true;
    const bool completed = job.attempt->completed();
    const auto cause = job.attempt->cause();
    const bool ran = job.attempt->was_released();
    if (cause == stop_cause::member_failed) {
        for (const auto& member : job.attempt->members()) {
            if (member.state == task_state::failed) {
                job.failed_on.push_back(workers_[member.worker].description.id);
            }
        }
    }
    forget_tasks(job);
    job.attempt.reset();
    if (completed) {
        finish_job(job, job_state::completed, "");
    } else if (cause == stop_cause::cancelled) {
        finish_job(job, job_state::cancelled, "cancelled by the caller");
    } else if (ran && !job.stored.spec.idempotent) {
        const bool failed = cause == stop_cause::member_failed;
        finish_job(job, failed ? job_state::failed : job_state::unknown,
                   failed ? "a member failed" : "a member was lost after the release");
    } else if (job.failed_on.size() >= options_.failures_to_give_up) {
        finish_job(job, job_state::failed, "failed on several different workers");
    } else {
        requeue(job, "a member was refused, lost or failed");
    }
}

void scheduler::requeue(job_record& job, std::string detail)
{
    ++counters_.requeued;
    job.state = job_state::queued;
    job.detail = std::move(detail);
    job.queued_since = now_;
    note("job.requeued", job, job.detail);
}

void scheduler::free_accelerators(const job_record& job)
{
    for (const auto& member : job.attempt->members()) {
        auto& occupant = workers_[member.worker].occupant;
        for (const auto at : member.accelerators) {
            if (occupant.at(at) == member.task) {
                occupant.at(at).clear();
            }
        }
    }
}

void scheduler::forget_tasks(const job_record& job)
{
    for (const auto& member : job.attempt->members()) {
        task_jobs_.erase(member.task);
    }
}

// Table writes.

void scheduler::finish_job(job_record& job, job_state state, std::string detail)
{
    job.state = state;
    job.detail = std::move(detail);
    note("job.ended", job, fmt::format("{} {}", to_string(state), job.detail));
    write_final(job);
}

void scheduler::write_final(job_record& job)
{
    auto row = job.stored;
    row.state = job.state;
    row.detail = job.detail;
    row.started_us = job.started_us;
    row.ended_us = base::wall_clock_us();
    row.operation = next_operation();
    job.writing = row.operation;
    job.final_write = true;
    const auto live = live_job_key(options_.failure_domain, row.spec.id);
    const auto done = done_job_key(options_.failure_domain, row.spec.id);
    out_.emplace_back(write_job{row.spec.id,
                                {row.operation,
                                 {{lease_key_, lease_version_}, {live, job.stored.version}},
                                 {{live, nullptr}, {done, to_json(row)}}}});
}

void scheduler::write_released(job_record& job)
{
    auto row = job.stored;
    row.state = job_state::running;
    row.released = true;
    row.operation = next_operation();
    job.writing = row.operation;
    const auto live = live_job_key(options_.failure_domain, row.spec.id);
    out_.emplace_back(write_job{row.spec.id,
                                {row.operation,
                                 {{lease_key_, lease_version_}, {live, job.stored.version}},
                                 {{live, to_json(row)}}}});
}

void scheduler::handle(job_written& happened)
{
    const auto found = jobs_.find(happened.job);
    if (found == jobs_.end() || phase_ != phase::active) {
        return;
    }
    auto& job = found->second;
    job.writing.clear();
    switch (happened.result.state) {
    case platform::commit_state::committed:
        if (job.final_write) {
            jobs_.erase(found);
            return;
        }
        job.stored.version = happened.result.version;
        job.stored.released = true;
        drive(job);
        return;
    case platform::commit_state::conflict:
        for (const auto& conflict : happened.result.conflicts) {
            if (conflict.key == lease_key_) {
                out_.emplace_back(step_down{"the lease row changed"});
                return;
            }
            // The row was changed by a cancellation, or is gone because an earlier write of the
            // same end took effect and its answer was lost.
            if (conflict.version == 0 && job.final_write) {
                jobs_.erase(found);
                return;
            }
            job.stored.version = conflict.version;
        }
        [[fallthrough]];
    case platform::commit_state::not_applied:
    case platform::commit_state::unknown:
        job.write_again_at = now_ + write_retry;
        return;
    }
}

// Time.

void scheduler::handle(rules_changed& happened)
{
    rules_ = std::move(happened.rules);
    for (auto& worker : workers_) {
        worker.avoided = rules_->avoids(worker.description.id);
    }
    place_again_ = true;
}

void scheduler::handle(time_passed& /*event*/)
{
    if (phase_ == phase::inactive) {
        return;
    }
    contact_workers();
    if (now_ - scanned_at_ >= options_.job_scan) {
        scanned_at_ = now_;
        out_.emplace_back(scan_jobs{});
    }
    if (phase_ != phase::active) {
        return;
    }
    for (auto& worker : workers_) {
        const bool lapsed = now_ - worker.renewed_at >= options_.worker_lease + lease_margin;
        if (worker.condition == worker_condition::silent && lapsed) {
            worker.condition = worker_condition::lost;
            std::ranges::fill(worker.occupant, std::string{});
            out_.emplace_back(
                note_event{"worker.lost", "worker/" + worker.description.id, "", "leases lapsed"});
            for (auto& [id, job] : jobs_) {
                if (job.attempt) {
                    job.attempt->record_worker_lost(index_of(worker), now_);
                    drive(job);
                }
            }
        }
    }
    for (auto& [id, job] : jobs_) {
        const bool write_due = job.writing.empty() && now_ >= job.write_again_at;
        if (final_state(job.state) && write_due) {
            write_final(job);
        } else if (job.attempt && now_ - job.attempt->phase_since() >= order_retry) {
            const bool write_released_due = job.attempt->phase() == gang_phase::held && write_due;
            if (job.attempt->phase() == gang_phase::stopping || write_released_due) {
                drive(job);
            }
        }
    }
    place_again_ = true;
}

// Views.

scheduler_counters scheduler::counters() const
{
    auto counters = counters_;
    for (const auto& [id, job] : jobs_) {
        counters.queued += job.state == job_state::queued ? 1 : 0;
        counters.starting += job.state == job_state::starting ? 1 : 0;
        counters.running += job.state == job_state::running ? 1 : 0;
    }
    return counters;
}

std::vector<worker_view> scheduler::workers() const
{
    std::vector<worker_view> views;
    for (const auto& worker : workers_) {
        std::uint32_t free = 0;
        for (std::size_t at = 0; at < worker.occupant.size(); ++at) {
            free += worker.occupant[at].empty() && !worker.broken[at] ? 1 : 0;
        }
        const bool healthy = worker.condition == worker_condition::healthy;
        const auto* const state = !healthy ? "silent" : worker.leaving ? "leaving" : "healthy";
        views.push_back({worker.description.id, state, free});
    }
    return views;
}

std::vector<job_view> scheduler::jobs() const
{
    std::vector<job_view> views;
    for (const auto& [id, job] : jobs_) {
        views.push_back({job.stored.spec, job.state, job.detail, job.started_us});
    }
    return views;
}

std::optional<job_view> scheduler::find_job(std::string_view id) const
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    const auto& job = found->second;
    return job_view{job.stored.spec, job.state, job.detail, job.started_us};
}

std::string scheduler::next_operation()
{
    return fmt::format("{}-{}-j{}", options_.run_id, token_, next_sequence_++);
}

void scheduler::note(std::string kind, const job_record& job, std::string detail)
{
    out_.emplace_back(note_event{std::move(kind), "job/" + job.stored.spec.id,
                                 job.stored.spec.class_name, std::move(detail)});
}

} // namespace poplarstile::scheduling
