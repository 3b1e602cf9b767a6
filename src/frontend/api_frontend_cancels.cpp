#include "frontend/internal/pending_call.hpp"
#include "store/row_keys.hpp"

#include <utility>

/// Storing requests to cancel jobs, for the leader to carry out.
namespace poplarstile::frontend
{
namespace
{

using internal::is_job_id;
using internal::min_outage_retry;
using internal::retry_after_outage;

} // namespace

void api_frontend::cancel(const call_ptr& call)
{
    ++counters_.cancelled;
    const auto view = ports_.views->find(call->job);
    if (view && batch::is_final(view->status)) {
        finish(call, cancel_accepted{});
        return;
    }
    if (view) {
        store_cancel(call);
        return;
    }
    if (!is_job_id(call->job)) {
        finish(call, no_such_job{});
        return;
    }
    find_job(call, [this, call](const store::row* row) {
        // A submission that the store has not answered may still be carried out, so the request is
        // stored although there is no job yet.
        call->job_missing = row == nullptr;
        if (call->time_left(ports_.time->now()) <= base::milliseconds{0}) {
            // The read took longer than the caller waits, or the VM was suspended meanwhile.
            finish(call, call_refused{call_refused::cause::store_away, min_outage_retry});
        } else {
            store_cancel(call);
        }
    });
}

void api_frontend::store_cancel(const call_ptr& call)
{
    // The leader accepts a cancellation from any part.
    const auto part = call->in_doubt ? call->part : choose_part(call->job);
    if (!part) {
        finish(call,
               call_refused{call_refused::cause::store_away, retry_after_outage(store_outage())});
        return;
    }
    call->part = part;
    const auto row = jobs_row(*part, call->job + std::string{store::cancel_suffix});
    store::transaction insert;
    insert.expected.push_back({row, 0});
    insert.puts.push_back({row, "{}"});
    ports_.rows->commit(
        std::move(insert), [this, call, row, alive = alive_](const store::commit_reply& reply) {
            if (!*alive) {
                return;
            }
            if (reply.outcome == store::call_outcome::done) {
                ports_.on_stored({row, "{}", reply.version});
            }
            const bool stored = reply.outcome == store::call_outcome::done ||
                                reply.outcome == store::call_outcome::conflict;
            if (stored) {
                finish_cancel(call);
                return;
            }
            call->in_doubt = call->in_doubt || reply.outcome == store::call_outcome::unknown;
            retry(
                call, [this, call] { store_cancel(call); }, call_outcome_unknown{});
        });
}

void api_frontend::finish_cancel(const call_ptr& call)
{
    if (call->job_missing) {
        call->basis = "kept_for_late_submission";
        ++counters_.cancelled_before_job;
        finish(call, no_such_job{});
    } else {
        finish(call, cancel_accepted{});
    }
}

} // namespace poplarstile::frontend
