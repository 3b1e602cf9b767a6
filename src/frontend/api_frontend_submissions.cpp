#include "batch/job.hpp"
#include "batch/job_validation.hpp"
#include "frontend/internal/pending_call.hpp"
#include "planning/admission.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

/// Storing submitted jobs, and those whose effect is not known.
namespace poplarstile::frontend
{
namespace
{

using internal::is_job_id;
using internal::min_outage_retry;
using internal::retry_after_outage;

/// A submission that the store has not answered may take effect seconds later, and its caller may
/// repeat it in the meantime.
constexpr base::milliseconds uncertain_duration{30'000};

/// What a refusal of the job depends on; empty for a job that is never refused: one that repeats,
/// that runs until it is cancelled, or whose length is not known.
std::optional<planning::job_times> times_of(const batch::submission& accepted)
{
    const bool lasting = std::ranges::any_of(accepted.spec.steps, &batch::step_spec::long_running);
    if (accepted.spec.repeat || lasting) {
        return std::nullopt;
    }
    const batch::job job{accepted};
    const planning::job_times times{job.objective(), job.longest_chain()};
    return times.chain > base::milliseconds{0} ? std::optional{times} : std::nullopt;
}

} // namespace

void api_frontend::mark_uncertain(const std::string& job)
{
    const auto now = ports_.time->now();
    std::erase_if(uncertain_until_, [now](const auto& entry) { return entry.second < now; });
    uncertain_until_[job] = now + uncertain_duration;
}

bool api_frontend::is_uncertain(const std::string& job) const
{
    const auto found = uncertain_until_.find(job);
    return found != uncertain_until_.end() && found->second >= ports_.time->now();
}

void api_frontend::submit(const call_ptr& call)
{
    ++counters_.submitted;
    if (!is_job_id(call->job)) {
        finish(call, call_malformed{"the path does not end in a job id"});
        return;
    }
    if (ports_.views->knows(call->job)) {
        // A repeated submission of a job that was accepted before.
        call->basis = "known";
        finish(call, job_accepted{});
        return;
    }
    auto decoded = ports_.decode(call->call.body);
    if (!decoded.has_value()) {
        finish(call, call_malformed{decoded.error().detail});
        return;
    }
    if (const auto fault = batch::validation_error(decoded.value())) {
        finish(call, call_malformed{*fault});
        return;
    }
    batch::submission accepted;
    accepted.job = call->job;
    accepted.workspace = call->workspace;
    accepted.policy = call->queue->policy;
    accepted.spec = std::move(decoded).value();
    accepted.accepted_ms = ports_.time->unix_ms();
    call->times = times_of(accepted);
    call->encoded_submission = batch::encode(accepted);
    if (call->encoded_submission.size() > options_.max_row_bytes) {
        finish(call, call_malformed{fmt::format("the job takes {} bytes to store, at most {}",
                                                call->encoded_submission.size(),
                                                options_.max_row_bytes)});
        return;
    }
    refuse_or_store(call);
}

void api_frontend::store_submission(const call_ptr& call)
{
    // An attempt whose effect is unknown is only ever repeated on the same part.
    const auto part = call->in_doubt ? call->part : choose_part(call->job);
    if (!part) {
        if (is_uncertain(call->job)) {
            // An earlier call may have taken effect. Only the store can tell, and it may be
            // available again within the caller's timeout.
            retry(
                call, [this, call] { store_submission(call); }, call_outcome_unknown{});
            return;
        }
        // Nothing was sent to the store, so this call certainly had no effect.
        finish(call,
               call_refused{call_refused::cause::store_away, retry_after_outage(store_outage())});
        return;
    }
    call->part = part;
    ++call->attempts;
    const auto row = jobs_row(*part, call->job);
    store::transaction insert;
    insert.expected.push_back({row, 0});
    insert.puts.push_back({row, call->encoded_submission});
    under_way_.insert(call->job);
    ports_.rows->commit(std::move(insert),
                        [this, call, alive = alive_](const store::commit_reply& reply) {
                            if (*alive) {
                                under_way_.extract(call->job);
                                handle_submission_reply(call, reply);
                            }
                        });
}

void api_frontend::handle_submission_reply(const call_ptr& call, const store::commit_reply& reply)
{
    switch (reply.outcome) {
    case store::call_outcome::done:
        ports_.on_stored(
            {jobs_row(*call->part, call->job), call->encoded_submission, reply.version});
        ports_.views->note(
            {call->job, call->queue->policy.queue, call->workspace, batch::job_status::pending});
        call->basis = "stored";
        finish(call, job_accepted{});
        return;
    case store::call_outcome::conflict:
        // The job is already stored, by an earlier attempt of this call or by an earlier call.
        call->basis = "already_stored";
        finish(call, job_accepted{});
        return;
    case store::call_outcome::refused:
        break;
    default:
        if (!call->in_doubt) {
            call->in_doubt = true;
            mark_uncertain(call->job);
            ports_.on_uncertain_submission(call->job);
        }
        break;
    }
    // An earlier call may have stored the job, or may store it yet.
    const bool in_doubt = call->in_doubt || is_uncertain(call->job);
    retry(
        call, [this, call] { store_submission(call); },
        in_doubt ? caller_answer{call_outcome_unknown{}}
                 : caller_answer{call_refused{call_refused::cause::store_away, min_outage_retry}});
}

} // namespace poplarstile::frontend
