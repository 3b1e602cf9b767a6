#include "scheduling/scheduler.hpp"

#include <algorithm>

/// How the scheduler keeps in touch with its workers.
namespace poplarstile::scheduling
{
namespace
{

/// Beyond the lease, for clocks of workers that run slow.
constexpr base::milliseconds lease_margin{200};

} // namespace

void scheduler::contact_workers()
{
    for (auto& worker : workers_) {
        // A question that is never answered counts as lost.
        const bool overdue =
            worker.answer_pending && now_ - worker.asked_at >= options_.worker_lease / 2;
        if (overdue) {
            worker.answer_pending = false;
            note_silence(worker);
        }
        const bool due = now_ - worker.asked_at >= options_.worker_heartbeat;
        if (due && !worker.answer_pending) {
            contact_worker(worker);
        }
    }
}

void scheduler::contact_worker(worker_state& worker)
{
    worker.answer_pending = true;
    worker.asked_at = now_;
    worker.round = next_round_++;
    worker.renewing = worker.condition == worker_condition::healthy ||
                      worker.condition == worker_condition::unknown;
    if (worker.renewing) {
        worker.renewed_at = now_;
        out_.emplace_back(
            renew_worker{worker.description.id, worker.description.address, token_, worker.round});
    } else {
        out_.emplace_back(
            probe_worker{worker.description.id, worker.description.address, worker.round});
    }
}

void scheduler::handle(worker_reported& happened)
{
    auto* const worker = find_worker(happened.worker);
    if (worker == nullptr || phase_ == phase::inactive) {
        return;
    }
    if (happened.answer.result == workers::lease_answer::kind::refused &&
        happened.answer.greatest > token_) {
        out_.emplace_back(step_down{"a worker has seen a newer token"});
        return;
    }
    // A late or doubled answer is older than what is known.
    if (!worker->answer_pending || happened.round != worker->round) {
        return;
    }
    worker->answer_pending = false;
    switch (happened.answer.result) {
    case workers::lease_answer::kind::refused:
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
    if (worker.renewing) {
        // The renewal may have reached the worker as late as now.
        worker.renewed_at = now_;
    }
    if (worker.condition == worker_condition::unknown) {
        worker.condition = worker_condition::silent;
        return;
    }
    const bool was_healthy = worker.condition == worker_condition::healthy;
    if (was_healthy && now_ - worker.heard_at >= options_.worker_lease / 2) {
        worker.condition = worker_condition::silent;
        refresh_usable(worker);
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
    if (worker.renewing) {
        worker.renewed_at = now_;
    }
    worker.leaving = report.leaving;
    worker.last_report = report.tasks;
    worker.broken.assign(worker.broken.size(), false);
    for (const auto at : report.broken_accelerators) {
        if (at < worker.broken.size()) {
            worker.broken[at] = true;
        }
    }
    if (phase_ == phase::active) {
        take_tasks(worker);
        refresh_usable(worker);
    }
}

void scheduler::take_tasks(worker_state& worker)
{
    std::set<std::string_view> listed;
    for (const auto& task : worker.last_report) {
        listed.insert(task.task);
        const auto owner = task_jobs_.find(task.task);
        if (owner == task_jobs_.end()) {
            stop_orphan(worker, task);
            continue;
        }
        auto& job = jobs_.at(owner->second);
        job.attempt->record_state(task.task, task.state, now_);
        drive(job);
    }
    // Driving a job changes the set, so the tasks are copied first.
    const std::vector<std::string> expected{worker.tasks.begin(), worker.tasks.end()};
    for (const auto& task : expected) {
        const auto owner = task_jobs_.find(task);
        if (owner == task_jobs_.end() || listed.contains(task)) {
            continue;
        }
        auto& job = jobs_.at(owner->second);
        job.attempt->record_absence(task, worker.asked_at, now_);
        drive(job);
    }
}

bool scheduler::leases_lapsed(const worker_state& worker) const
{
    return now_ - worker.renewed_at >= options_.worker_lease + lease_margin;
}

void scheduler::lose_lapsed_workers()
{
    for (auto& worker : workers_) {
        if (worker.condition != worker_condition::silent) {
            continue;
        }
        const bool lapsed = leases_lapsed(worker);
        if (lapsed) {
            worker.condition = worker_condition::lost;
            out_.emplace_back(
                note_event{"worker.lost", "worker/" + worker.description.id, "", "leases lapsed"});
        }
        if (lapsed || now_ - worker.heard_at >= options_.worker_lease - lease_margin) {
            stop_gangs_of(worker, lapsed);
        }
    }
}

/// The other members of gangs on a silent worker stop within one lease time of its last sign; its
/// own count as ended when its leases have lapsed.
void scheduler::stop_gangs_of(const worker_state& worker, bool lapsed)
{
    const std::vector<std::string> tasks{worker.tasks.begin(), worker.tasks.end()};
    for (const auto& task : tasks) {
        const auto owner = task_jobs_.find(task);
        if (owner == task_jobs_.end()) {
            continue;
        }
        auto& job = jobs_.at(owner->second);
        if (lapsed) {
            job.attempt->record_worker_lost(index_of(worker), now_);
        } else {
            job.attempt->stop(stop_cause::member_lost, now_);
        }
        drive(job);
    }
}

void scheduler::stop_orphan(const worker_state& worker, const workers::task_report& task)
{
    if (task_jobs_.contains(task.task) || unreadable_.contains(task.job)) {
        return;
    }
    const bool over = workers::ended(task.state);
    if (over && end_is_unstored(task.job)) {
        return;
    }
    out_.emplace_back(
        order_task{worker.description.address, task.task, over ? "forget" : "stop", token_});
}

/// Until the table has the end, a successor learns it from the workers alone.
bool scheduler::end_is_unstored(std::string_view job) const
{
    const auto found = jobs_.find(job);
    return found != jobs_.end() && final_state(found->second.state);
}

void scheduler::refresh_usable(const worker_state& worker)
{
    const bool takes_work =
        worker.condition == worker_condition::healthy && !worker.leaving && !worker.avoided;
    std::vector<bool> usable(worker.broken.size(), takes_work);
    for (std::size_t at = 0; at < usable.size(); ++at) {
        usable[at] = usable[at] && !worker.broken[at];
    }
    for (const auto& task : worker.last_report) {
        if (workers::ended(task.state) || task_jobs_.contains(task.task)) {
            continue;
        }
        for (const auto at : task.accelerators) {
            if (at < usable.size()) {
                usable[at] = false;
            }
        }
    }
    const auto index = index_of(worker);
    const auto freed_before = allocation_.freed_count();
    for (std::uint32_t at = 0; at < usable.size(); ++at) {
        allocation_.set_usable(index, at, usable[at]);
    }
    place_again_ = place_again_ || allocation_.freed_count() != freed_before;
}

scheduler::worker_state* scheduler::find_worker(std::string_view id)
{
    const auto found = worker_indices_.find(std::string{id});
    return found == worker_indices_.end() ? nullptr : &workers_[found->second];
}

std::size_t scheduler::index_of(const worker_state& worker) const
{
    return static_cast<std::size_t>(&worker - workers_.data());
}

} // namespace poplarstile::scheduling
