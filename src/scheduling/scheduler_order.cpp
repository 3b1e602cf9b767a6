#include "scheduling/scheduler.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <set>

/// Room for work that the order puts before running work, and the reservation for the job that has
/// waited longest.
namespace poplarstile::scheduling
{
namespace
{

/// Jobs for which room is looked for in one round.
constexpr std::size_t max_examined = 64;

} // namespace

void scheduler::enqueue(const job_record& job)
{
    const auto& spec = job.stored.spec;
    queue_.add({.number = job.sequence,
                .workspace = spec.workspace,
                .class_name = spec.class_name,
                .shape = spec.shape,
                .stoppable = spec.checkpointable && spec.idempotent,
                .attained = job.kept,
                .queued_since = job.queued_since});
}

/// Stops work of lower queues for the first jobs in the order that found no place.
void scheduler::make_room()
{
    if (reserved_for_ && !queue_.contains(*reserved_for_)) {
        reserved_for_.reset();
        allocation_.clear_reservations();
    }
    std::size_t examined = 0;
    ordering::job_queue::pass order{queue_, now_};
    while (const auto number = order.next()) {
        if (claimants_.size() >= options_.order.max_claims || ++examined > max_examined) {
            return;
        }
        auto& job = *works_.at(*number);
        if (now_ < job.retry_at) {
            continue;
        }
        const auto reason = order.reason();
        if (options_.order.preempt && claim_cell(job, reason)) {
            continue;
        }
        if (options_.order.reserve && reason == ordering::order_reason::aged && !reserved_for_) {
            reserve_cell(job);
        }
        order.skip_lane();
    }
}

bool scheduler::may_stop(const job_record& victim, const job_record& waiting,
                         ordering::order_reason reason) const
{
    const auto& spec = victim.stored.spec;
    const bool gives_way =
        spec.checkpointable && spec.idempotent && !allocation_.guarantee_level_of(victim.sequence);
    if (!gives_way || victim.state != job_state::running || victim.yielding) {
        return false;
    }
    if (reason == ordering::order_reason::urgent) {
        return victim.stored.spec.class_name != waiting.stored.spec.class_name;
    }
    if (now_ - victim.running_since < options_.order.least_run) {
        return false;
    }
    return reason == ordering::order_reason::aged ||
           ordering::service_level(options_.order, attained_by(victim)) >
               ordering::service_level(options_.order, waiting.kept);
}

/// The works that must stop so that the shape can have the cell; nothing when that can't be.
std::optional<std::vector<placement::work_id>>
scheduler::stoppable_in(const placement::cell& where, const job_record& job,
                        ordering::order_reason reason) const
{
    std::set<placement::work_id> victims;
    const auto& line = hardware_.lines()[where.line];
    for (const auto offset : placement::footprint(where, job.stored.spec.shape)) {
        const placement::accelerator_place place{where.line, offset};
        if (offset >= line.size() || !allocation_.claimable(place)) {
            return std::nullopt;
        }
        const auto occupant = allocation_.occupant_of(place);
        if (occupant == 0 || victims.contains(occupant)) {
            continue;
        }
        if (!may_stop(*works_.at(occupant), job, reason)) {
            return std::nullopt;
        }
        victims.insert(occupant);
    }
    return std::vector<placement::work_id>{victims.begin(), victims.end()};
}

/// The cell whose works hold the fewest accelerators.
std::optional<placement::placement_plan> scheduler::claim_plan(const job_record& job,
                                                               ordering::order_reason reason) const
{
    std::optional<placement::placement_plan> best;
    const auto need = placement::need_of(job.stored.spec.shape);
    for (std::uint32_t line = 0; line < hardware_.lines().size(); ++line) {
        if (hardware_.width_level(line) < need.width_level) {
            continue;
        }
        const auto size = hardware_.lines()[line].size();
        for (std::uint32_t first = 0; first < size; first += 1U << need.level) {
            const placement::cell where{line, first, need.level};
            auto victims = stoppable_in(where, job, reason);
            if (!victims || victims->empty()) {
                continue;
            }
            double loss = 0;
            for (const auto victim : *victims) {
                loss += static_cast<double>(works_.at(victim)->stored.spec.shape.total());
            }
            if (!best || loss < best->loss) {
                best = placement::placement_plan{
                    .where = where, .victims = std::move(*victims), .loss = loss};
            }
        }
    }
    return best;
}

/// Only work that gives way itself claims cells beyond its guarantee: no guarantee can miss them.
bool scheduler::claim_cell(job_record& job, ordering::order_reason reason)
{
    const auto request = request_of(job);
    if (!request.stoppable) {
        return false;
    }
    const auto plan = claim_plan(job, reason);
    if (!plan) {
        return false;
    }
    const auto unmet = allocation_.unmet().size();
    allocation_.commit(*plan, request);
    if (allocation_.unmet().size() > unmet) {
        allocation_.release(job.sequence);
        return false;
    }
    (void)queue_.remove(job.sequence);
    claimants_.push_back(job.stored.spec.id);
    job.detail = "waits for work that gives way to the order";
    note("job.preempts", job, fmt::format("{} gangs give way", plan->victims.size()));
    for (const auto victim : plan->victims) {
        yield(*works_.at(victim), job);
    }
    return true;
}

/// Keeps new work from the cell with the fewest accelerators in use.
void scheduler::reserve_cell(const job_record& job)
{
    std::optional<placement::cell> best;
    std::size_t fewest = 0;
    const auto& shape = job.stored.spec.shape;
    const auto need = placement::need_of(shape);
    for (std::uint32_t line = 0; line < hardware_.lines().size(); ++line) {
        const auto size = hardware_.lines()[line].size();
        for (std::uint32_t first = 0;
             first < size && hardware_.width_level(line) >= need.width_level;
             first += 1U << need.level) {
            const placement::cell where{line, first, need.level};
            std::size_t used = 0;
            const bool whole =
                std::ranges::all_of(placement::footprint(where, shape), [&](std::uint32_t offset) {
                    const placement::accelerator_place place{line, offset};
                    const bool exists = offset < size && allocation_.claimable(place);
                    used += exists && allocation_.occupant_of(place) != 0 ? 1 : 0;
                    return exists;
                });
            if (whole && (!best || used < fewest)) {
                best = where;
                fewest = used;
            }
        }
    }
    if (best) {
        reserved_for_ = job.sequence;
        allocation_.reserve(*best);
    }
}

} // namespace poplarstile::scheduling
