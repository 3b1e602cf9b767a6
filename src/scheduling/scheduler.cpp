#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace poplarstile::scheduling
{
namespace
{

placement::topology hardware_of(std::span<const worker_description> workers)
{
    std::vector<placement::worker_hardware> hardware;
    for (const auto& worker : workers) {
        hardware.push_back({worker.id, worker.rack, worker.position, worker.accelerators});
    }
    return placement::topology::create(hardware);
}

} // namespace

scheduler::scheduler(const scheduler_options& options, std::span<const worker_description> workers)
    : options_{options}, hardware_{hardware_of(workers)},
      allocation_{hardware_}, queue_{options.order, options.failure_domain}
{
    for (const auto& hardware : hardware_.workers()) {
        const auto found = std::ranges::find(workers, hardware.id, &worker_description::id);
        worker_state state;
        state.description = *found;
        state.broken.resize(found->accelerators);
        worker_indices_[found->id] = workers_.size();
        workers_.push_back(std::move(state));
    }
    reset();
}

actions scheduler::decide(event happened, base::time_point now)
{
    now_ = now;
    out_.clear();
    std::visit([this](auto& occurred) { handle(occurred); }, happened);
    if (phase_ == phase::rebuilding) {
        finish_rebuilding_if_ready();
    }
    if (phase_ == phase::active) {
        advance_claims();
    }
    if (phase_ == phase::active && place_again_) {
        place_again_ = false;
        place_queued();
    }
    return std::exchange(out_, {});
}

void scheduler::reset()
{
    queue_.clear();
    reserved_for_.reset();
    allocation_.clear_reservations();
    jobs_.clear();
    task_jobs_.clear();
    works_.clear();
    claimants_.clear();
    arrived_.clear();
    looked_at_ = {};
    ended_.clear();
    jobs_known_ = false;
    allocation_ = placement::allocation{hardware_};
    allocation_.set_guarantees(
        placement::allocation::instances_of(*rules_, options_.failure_domain));
    for (auto& worker : workers_) {
        worker.condition = worker_condition::unknown;
        worker.answer_pending = false;
        worker.round = 0;
        worker.tasks.clear();
        worker.last_report.clear();
        refresh_usable(worker);
    }
}

void scheduler::handle(lease_gained& happened)
{
    reset();
    phase_ = phase::rebuilding;
    token_ = happened.token;
    lease_key_ = std::move(happened.lease_key);
    lease_version_ = happened.lease_version;
    lease_gained_at_ = now_;
    scanned_at_ = now_;
    out_.emplace_back(scan_jobs{});
    for (auto& worker : workers_) {
        contact_worker(worker);
    }
}

void scheduler::handle(lease_lost& /*event*/)
{
    phase_ = phase::inactive;
    reset();
}

void scheduler::handle(rules_changed& happened)
{
    rules_ = std::move(happened.rules);
    for (auto& worker : workers_) {
        worker.avoided = rules_->avoids(worker.description.id);
        refresh_usable(worker);
    }
    allocation_.set_guarantees(
        placement::allocation::instances_of(*rules_, options_.failure_domain));
    queue_.set_rules(rules_);
    // A claim rests on a guarantee; without it the job is placed anew.
    for (const auto& id : claimants_) {
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && !allocation_.guarantee_level_of(found->second.sequence)) {
            allocation_.release(found->second.sequence);
            enqueue(found->second);
        }
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
    lose_lapsed_workers();
    for (auto& [id, job] : jobs_) {
        drive_overdue(job);
    }
    place_again_ = true;
    make_room();
}

} // namespace poplarstile::scheduling
