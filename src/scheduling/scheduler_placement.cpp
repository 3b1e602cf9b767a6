#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

/// Where gangs go, and how cells are reclaimed for guarantees.
namespace poplarstile::scheduling
{
namespace
{

/// Longest time between two looks through the whole queue, for jobs whose backoff has ended.
constexpr base::milliseconds whole_queue_interval{250};

/// Jobs that the allocation can't tell apart: when one finds no place, neither do the others.
struct request_kind {
    std::string_view workspace{};
    rules::shape shape{};
    bool stoppable = false;

    bool operator<(const request_kind& other) const
    {
        return std::tie(workspace, shape.members, shape.accelerators, stoppable) <
               std::tie(other.workspace, other.shape.members, other.shape.accelerators,
                        other.stoppable);
    }
};

/// Tells the task how much of its run time was kept; a payload that is no object is left as it is.
base::json_text resumed_payload(const base::json_text& payload, base::milliseconds kept)
{
    auto built = payload.value();
    if (!built.is_object()) {
        return payload;
    }
    built["resume_ms"] = kept.count();
    return base::json_text{built};
}

} // namespace

placement::work_request scheduler::request_of(const job_record& job) const
{
    const auto& spec = job.stored.spec;
    return {.id = job.sequence,
            .workspace = spec.workspace,
            .shape = spec.shape,
            .stoppable = spec.checkpointable && spec.idempotent};
}

/// Looks through the whole queue when something became free or some time has passed; otherwise only
/// jobs that arrived can find what the others did not.
void scheduler::place_queued()
{
    const bool whole_queue =
        allocation_.freed_count() != looked_at_freed_ || now_ - looked_at_ >= whole_queue_interval;
    const auto arrived = std::exchange(arrived_, {});
    if (!whole_queue) {
        place_arrived(arrived);
        return;
    }
    looked_at_freed_ = allocation_.freed_count();
    looked_at_ = now_;
    place_in_order();
}

void scheduler::place_arrived(std::span<const std::string> arrived)
{
    for (const auto& id : arrived) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end() || !queue_.may_start(found->second.sequence)) {
            continue;
        }
        (void)try_place(found->second);
    }
}

void scheduler::place_in_order()
{
    std::set<request_kind> without_place;
    ordering::job_queue::pass order{queue_, now_};
    while (const auto number = order.next()) {
        auto& job = *works_.at(*number);
        if (now_ < job.retry_at) {
            continue;
        }
        const auto& spec = job.stored.spec;
        const request_kind kind{spec.workspace, spec.shape, spec.checkpointable && spec.idempotent};
        const bool reserved = reserved_for_ == number;
        if ((without_place.contains(kind) && !reserved) || !try_place(job)) {
            without_place.insert(kind);
            if (!reserved) {
                order.skip_lane();
            }
        }
    }
}

bool scheduler::try_place(job_record& job)
{
    const auto request = request_of(job);
    const auto plan =
        allocation_.plan(request, [this](placement::work_id work) { return loss_of(work); },
                         {.use_reserved = reserved_for_ == job.sequence});
    if (!plan) {
        return false;
    }
    allocation_.commit(*plan, request);
    (void)queue_.remove(job.sequence);
    if (plan->victims.empty()) {
        start_holding(job);
        return true;
    }
    job.detail = "waits for work that gives way to its guarantee";
    claimants_.push_back(job.stored.spec.id);
    note("job.reclaims", job, fmt::format("{} gangs give way", plan->victims.size()));
    for (const auto victim : plan->victims) {
        yield(*works_.at(victim), job);
    }
    return true;
}

void scheduler::start_holding(job_record& job)
{
    ++job.attempts;
    ++counters_.placements;
    job.orders_sent_at = now_;
    std::vector<gang_member> members;
    for (auto& place : allocation_.members_of(job.sequence)) {
        members.push_back({.worker = place.worker, .accelerators = std::move(place.accelerators)});
    }
    for (std::uint32_t number = 0; number < members.size(); ++number) {
        hold_member(job, members[number], number);
    }
    note("job.placed", job, workers_[members.front().worker].description.id);
    job.attempt = gang{std::move(members), now_};
    queue_.add_use(job.stored.spec.workspace, job.stored.spec.shape.total());
    job.state = job_state::starting;
    job.detail = "members are being held";
}

/// The task id tells a later scheduler the attempt, and the level of the guaranteed cell: see
/// `find_attempts`.
void scheduler::hold_member(job_record& job, gang_member& member, std::uint32_t number)
{
    const auto& spec = job.stored.spec;
    auto& worker = workers_[member.worker];
    const auto level = allocation_.guarantee_level_of(job.sequence);
    member.task = fmt::format("{}.{}.{}{}.{}", spec.id, token_, job.attempts,
                              level ? fmt::format("g{}", *level) : "", number);
    task_jobs_[member.task] = spec.id;
    worker.tasks.insert(member.task);
    auto payload = spec.payload;
    if (job.kept.count() > 0) {
        payload = resumed_payload(spec.payload, job.kept);
    }
    out_.emplace_back(hold_task{worker.description.address,
                                {.token = token_,
                                 .failure_domain = options_.failure_domain,
                                 .task = member.task,
                                 .job = spec.id,
                                 .gang_size = spec.shape.members,
                                 .member = number,
                                 .accelerators = member.accelerators,
                                 .lease = options_.worker_lease,
                                 .checkpointable = spec.checkpointable,
                                 .payload = std::move(payload)}});
}

/// Starts the claimants whose cells are free now; those whose cells broke are placed again.
void scheduler::advance_claims()
{
    std::erase_if(claimants_, [this](const std::string& id) {
        const auto found = jobs_.find(id);
        if (found == jobs_.end()) {
            return true;
        }
        auto& job = found->second;
        switch (allocation_.claim_of(job.sequence)) {
        case placement::allocation::claim_state::none:
            return true;
        case placement::allocation::claim_state::waiting:
            return false;
        case placement::allocation::claim_state::ready:
            allocation_.occupy(job.sequence);
            start_holding(job);
            return true;
        case placement::allocation::claim_state::broken:
            allocation_.release(job.sequence);
            enqueue(job);
            place_again_ = true;
            return true;
        }
        return true;
    });
}

/// Asks a gang to give way: a checkpoint first when it runs, then the stop of all its members.
void scheduler::yield(job_record& victim, const job_record& claimant)
{
    if (victim.yielding || !victim.attempt) {
        return;
    }
    ++counters_.reclaimed;
    victim.yielding = giving_way{.workspace = claimant.stored.spec.workspace,
                                 .checkpoint_due = now_ + checkpoint_wait};
    note("job.gives_way", victim, claimant.stored.spec.id);
    if (victim.attempt->phase() != gang_phase::running) {
        stop_yielding(victim);
        return;
    }
    for (const auto& member : victim.attempt->members()) {
        if (!member.settled) {
            victim.yielding->unanswered.insert(member.task);
            out_.emplace_back(order_task{workers_[member.worker].description.address, member.task,
                                         "checkpoint", token_});
        }
    }
    if (victim.yielding->unanswered.empty()) {
        stop_yielding(victim);
    }
}

void scheduler::record_checkpoint(job_record& job, const task_answered& happened)
{
    if (!job.yielding || !job.yielding->unanswered.contains(happened.task)) {
        return;
    }
    if (happened.answer.result != workers::task_answer::kind::accepted) {
        // Without one member's checkpoint the others are of no use.
        stop_yielding(job);
        return;
    }
    auto& gives = *job.yielding;
    gives.least_progress = std::min(gives.least_progress, happened.answer.progress);
    gives.unanswered.erase(happened.task);
    if (gives.unanswered.empty()) {
        job.kept = std::max(job.kept, gives.least_progress);
        job.checkpointed_at = now_;
        stop_yielding(job);
    }
}

void scheduler::stop_yielding(job_record& job)
{
    job.yielding->unanswered.clear();
    job.yielding->checkpoint_due = base::time_point::max();
    if (job.state == job_state::running) {
        counters_.lost_to_reclaim_ms += static_cast<std::uint64_t>(loss_of(job.sequence));
    }
    job.attempt->stop(stop_cause::reclaimed, now_);
    drive(job);
}

double scheduler::loss_of(placement::work_id work) const
{
    const auto& job = *works_.at(work);
    if (job.state != job_state::running) {
        return 0.0;
    }
    const auto since = std::chrono::duration_cast<base::milliseconds>(now_ - job.checkpointed_at);
    return static_cast<double>(since.count()) * static_cast<double>(job.stored.spec.shape.total());
}

base::milliseconds scheduler::attained_by(const job_record& job) const
{
    if (job.state != job_state::running) {
        return job.kept;
    }
    return job.kept + std::chrono::duration_cast<base::milliseconds>(now_ - job.running_since);
}

} // namespace poplarstile::scheduling
