#include "frontend/internal/pending_call.hpp"
#include "planning/admission.hpp"
#include "store/row_keys.hpp"

#include <algorithm>
#include <optional>

/// Refusing submissions of jobs that would begin too late to be of use to their callers.
namespace poplarstile::frontend
{

std::optional<base::milliseconds> api_frontend::hopeless_for(const pending_call& call) const
{
    // Unless all open jobs are known here, an unknown job id may be that of a stored job.
    const bool new_job = ports_.views->whole() && !ports_.views->knows(call.job) &&
                         !is_uncertain(call.job) && !under_way_.contains(call.job);
    if (!options_.refuse_hopeless_jobs || !call.times || !new_job) {
        return std::nullopt;
    }
    const auto load = ports_.views->load_of(call.queue->policy.queue);
    if (!load || !load->shortage) {
        return std::nullopt;
    }
    const auto& shortage = *load->shortage;
    if (std::ranges::find(shortage.at_fair_share, call.workspace) == shortage.at_fair_share.end()) {
        return std::nullopt;
    }
    return planning::hopeless_for({.queue = {},
                                   .wait = base::milliseconds{shortage.wait_ms},
                                   .in_time_wait = base::milliseconds{shortage.in_time_wait_ms},
                                   .late_permille = std::min(shortage.late_permille, 1'000U)},
                                  *call.times);
}

void api_frontend::refuse_or_store(const call_ptr& call)
{
    if (hopeless_for(*call)) {
        refuse_unless_stored(call, 0);
    } else {
        store_submission(call);
    }
}

void api_frontend::refuse_unless_stored(const call_ptr& call, std::size_t parts_tried)
{
    // The VM may have been suspended meanwhile.
    if (call->time_left(ports_.time->now()) <= options_.answer_margin) {
        finish(call, call_outcome_unknown{});
        return;
    }
    const auto wait = hopeless_for(*call);
    if (!wait) {
        // What is known has changed since.
        store_submission(call);
        return;
    }
    if (parts_tried == options_.parts.size()) {
        ++counters_.refused_hopeless;
        call->basis = "too_late";
        finish(call, call_refused{call_refused::cause::overloaded,
                                  planning::spread_return(*wait, call->job)});
        return;
    }
    // An earlier call may have been stored by a VM that stopped before it could tell anyone.
    const auto part = (options_.parts.home_of(call->job) + parts_tried) % options_.parts.size();
    const store::read_range row{"jobs", options_.parts.name(part), call->job,
                                store::after_key(call->job), 1};
    ports_.rows->read(row, [this, call, parts_tried, alive = alive_](const auto& reply) {
        if (*alive) {
            handle_stored_row(call, parts_tried, reply);
        }
    });
}

void api_frontend::handle_stored_row(const call_ptr& call, std::size_t parts_tried,
                                     const store::read_reply& reply)
{
    if (reply.outcome == store::call_outcome::done && reply.rows.empty()) {
        refuse_unless_stored(call, parts_tried + 1);
    } else if (reply.outcome == store::call_outcome::done) {
        call->basis = "already_stored";
        finish(call, job_accepted{});
    } else if (call->time_left(ports_.time->now()) > options_.answer_margin) {
        store_submission(call);
    } else {
        finish(call, call_outcome_unknown{});
    }
}

} // namespace poplarstile::frontend
