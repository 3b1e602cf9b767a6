#include "dispatch/dispatcher.hpp"

#include "dispatch/internal/dispatcher_limits.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

/// The ledger's side of the dispatcher: work that is not idempotent.
namespace poplarstile::dispatch
{
namespace
{

using base::error;
using base::error_code;
using base::milliseconds;
using workers::execute_state;
using namespace internal;

} // namespace

void dispatcher::reserve(pending_request& pending, routing::worker_index worker)
{
    pool_.begin(worker);
    ++reserving_;
    pending.reserved_worker = worker;
    pending.where = stage::reserving;
    pending.write_in_doubt = false;
    pending.ledger_key = ledger::ledger_key(pending.request.workspace, pending.request.service,
                                            pending.request.idempotency_key);
    const auto& target = pool_.description(worker);
    pending.entry = {.state = ledger::entry_state::dispatched,
                     .request = pending.request.request_id,
                     .attempt = next_id('a'),
                     .worker = target.id,
                     .worker_address = target.address,
                     .body_hash = ledger::hash_body(pending.request.body),
                     .operation = next_id('o')};
    write_entry(pending);
}

void dispatcher::release_reserved(pending_request& pending)
{
    pool_.end(pending.reserved_worker, routing::attempt_verdict::neutral, now_);
    --reserving_;
}

void dispatcher::note_table(bool answers)
{
    table_failures_ = answers ? 0 : table_failures_ + 1;
}

bool dispatcher::table_trusted() const
{
    return table_failures_ < failures_to_distrust_table;
}

void dispatcher::write_entry(pending_request& pending)
{
    out_.emplace_back(write_ledger{
        pending.request.number,
        ledger::write_entry(pending.ledger_key, pending.ledger_version, pending.entry)});
}

void dispatcher::handle(ledger_written& happened)
{
    using table::commit_state;
    const auto state = happened.result.state;
    note_table(state == commit_state::committed || state == commit_state::conflict);
    if (records_.contains(happened.number)) {
        finish_record(happened.number, happened.result);
        return;
    }
    auto* pending = find(happened.number);
    if (pending == nullptr || pending->where != stage::reserving) {
        return;
    }
    switch (state) {
    case commit_state::committed:
        pending->ledger_version = happened.result.version;
        note("ledger.dispatched", *pending, pending->entry.worker);
        send_reserved(*pending);
        return;
    case commit_state::not_applied:
        if (!pending->write_in_doubt) {
            release_reserved(*pending);
            answer_not_run(*pending, error_code::platform_unreachable,
                           "the ledger can't be written, so the work was not sent");
            return;
        }
        out_.emplace_back(read_ledger{happened.number, pending->ledger_key});
        return;
    case commit_state::conflict:
    case commit_state::unknown:
        // After a doubtful write the row may be this request's own or another's.
        pending->key_taken = pending->key_taken || state == commit_state::conflict;
        pending->write_in_doubt = pending->write_in_doubt || state == commit_state::unknown;
        out_.emplace_back(read_ledger{happened.number, pending->ledger_key});
        return;
    }
}

void dispatcher::send_reserved(pending_request& pending)
{
    if (time_left(pending) < least_attempt_time) {
        give_up_unsent(pending);
        return;
    }
    --reserving_;
    start_attempt(pending, pending.reserved_worker);
}

void dispatcher::give_up_unsent(pending_request& pending)
{
    // Only this request would ever have sent the attempt, so that the row can say so at once.
    release_reserved(pending);
    record_fenced(pending);
    answer_not_run(pending, error_code::request_deadline_passed, "the work was not sent");
}

void dispatcher::handle(ledger_read& happened)
{
    note_table(happened.row.has_value());
    auto* pending = find(happened.number);
    if (pending == nullptr || pending->where != stage::reserving) {
        return;
    }
    if (!happened.row.has_value()) {
        // This attempt was not sent and never will be. The row may still appear; a row of another
        // request, though, may stand for work that ran.
        release_reserved(*pending);
        const error failure{error_code::platform_unreachable, pending->request.service,
                            "the ledger can't be read, so this attempt was not sent", ""};
        answer(*pending, pending->key_taken ? outcome::unknown : outcome::not_run, failure, "", "",
               retry_hint);
        return;
    }
    const auto& row = happened.row.value();
    if (!row) {
        // The write has not taken effect so far. The same write again settles it: one of the two
        // finds the row absent, the other finds the row with this operation.
        pending->ledger_version = 0;
        write_entry(*pending);
        return;
    }
    handle_entry(*pending, *row);
}

void dispatcher::handle_entry(pending_request& pending, const table::table_row& row)
{
    auto read = ledger::read_entry(row);
    if (!read.has_value()) {
        // The row is another request's, whose work may have run.
        release_reserved(pending);
        answer(pending, outcome::unknown,
               error{error_code::platform_answer_invalid, pending.request.service,
                     read.error().detail, ""},
               "", "", retry_hint);
        return;
    }
    auto& found = read.value();
    if (found.operation == pending.entry.operation) {
        pending.ledger_version = row.version;
        send_reserved(pending);
        return;
    }
    if (found.body_hash != pending.entry.body_hash) {
        release_reserved(pending);
        answer(pending, outcome::rejected,
               error{error_code::request_key_reused, pending.request.idempotency_key, "", ""});
        return;
    }
    pending.ledger_version = row.version;
    switch (found.state) {
    case ledger::entry_state::fenced:
        // Replaces the fenced attempt; the worker reserved above is kept.
        write_entry(pending);
        return;
    case ledger::entry_state::settled:
        release_reserved(pending);
        answer_repeat(pending, found);
        return;
    case ledger::entry_state::dispatched:
        release_reserved(pending);
        pending.entry = std::move(found);
        pending.asks_for_other = true;
        resolve(pending, false);
        return;
    }
}

void dispatcher::answer_repeat(pending_request& pending, const ledger::ledger_entry& settled)
{
    note("ledger.answered_repeat", pending, settled.attempt);
    if (settled.succeeded) {
        answer(pending, outcome::completed, {}, settled.worker, settled.body);
        return;
    }
    answer(pending, outcome::failed,
           error{error_code::worker_attempt_failed, settled.worker, "", ""}, settled.worker,
           settled.body);
}

void dispatcher::resolve(pending_request& pending, bool fence)
{
    pending.where = stage::resolving;
    const auto timeout = std::clamp(time_left(pending), milliseconds{50}, resolve_timeout);
    const auto& entry = pending.entry;
    if (fence) {
        note("ledger.fencing", pending, entry.attempt);
        out_.emplace_back(
            send_fence{pending.request.number, entry.worker_address, entry.attempt, timeout});
    } else {
        out_.emplace_back(
            send_query{pending.request.number, entry.worker_address, entry.attempt, timeout});
    }
}

void dispatcher::handle_resolution(pending_request& pending, const workers::execute_answer& answer)
{
    const bool own = !pending.asks_for_other;
    switch (answer.state) {
    case execute_state::completed:
    case execute_state::failed:
        settle(pending, answer);
        return;
    case execute_state::fenced:
        finish_fenced(pending);
        return;
    case execute_state::refused:
    case execute_state::not_sent:
        if (own && pending.where == stage::executing) {
            finish_fenced(pending);
            return;
        }
        wait_to_resolve(pending);
        return;
    case execute_state::lost:
        if (own && pending.where == stage::executing) {
            resolve(pending, true);
            return;
        }
        wait_to_resolve(pending);
        return;
    case execute_state::never_seen:
        if (!pending.unseen_since) {
            pending.unseen_since = now_;
        }
        if (own || now_ - *pending.unseen_since >= unseen_grace) {
            resolve(pending, true);
            return;
        }
        wait_to_resolve(pending);
        return;
    case execute_state::running:
        wait_to_resolve(pending);
        return;
    }
}

void dispatcher::wait_to_resolve(pending_request& pending)
{
    pending.where = stage::waiting_to_resolve;
    pending.next_query = now_ + resolve_interval;
}

void dispatcher::send_due_queries()
{
    for (auto& [number, pending] : pending_) {
        if (pending.where == stage::waiting_to_resolve && now_ >= pending.next_query) {
            // An own attempt whose answer was lost is fenced until the worker has said a word.
            resolve(pending, !pending.asks_for_other);
        }
    }
}

void dispatcher::settle(pending_request& pending, const workers::execute_answer& answer)
{
    auto entry = pending.entry;
    entry.state = ledger::entry_state::settled;
    entry.succeeded = answer.state == execute_state::completed;
    entry.body = answer.body;
    record_end(pending, entry);
    note("ledger.settled", pending, entry.attempt);
    if (entry.succeeded) {
        this->answer(pending, outcome::completed, {}, entry.worker, answer.body);
        return;
    }
    this->answer(pending, outcome::failed,
                 error{error_code::worker_attempt_failed, entry.worker, "", ""}, entry.worker,
                 answer.body);
}

void dispatcher::finish_fenced(pending_request& pending)
{
    pending.attempts.clear();
    pending.uncertain_attempts = 0;
    pending.asks_for_other = false;
    pending.unseen_since.reset();
    const bool time_for_another = time_left(pending) > resolve_reserve * 2;
    const auto worker = time_for_another && pending.tried.size() < max_attempts
                            ? pool_.select(now_, false, pending.tried)
                            : std::nullopt;
    if (worker) {
        ++counters_.retries;
        reserve(pending, *worker);
        return;
    }
    record_fenced(pending);
    answer_not_run(pending, error_code::worker_none_available,
                   "no worker started the attempt, and it can't start any more");
}

void dispatcher::record_fenced(pending_request& pending)
{
    // Spares the next request with this key the questions to the worker; the answer does not
    // depend on whether this write takes effect.
    auto entry = pending.entry;
    entry.state = ledger::entry_state::fenced;
    record_end(pending, std::move(entry));
}

void dispatcher::record_end(const pending_request& pending, ledger::ledger_entry entry)
{
    entry.operation = next_id('o');
    auto transaction = ledger::write_entry(pending.ledger_key, pending.ledger_version, entry);
    if (records_.size() < max_unconfirmed_records) {
        records_[pending.request.number] = {.transaction = transaction};
    } else {
        ++counters_.abandoned_records;
    }
    out_.emplace_back(write_ledger{pending.request.number, std::move(transaction)});
}

void dispatcher::finish_record(request_number number, const table::commit_result& result)
{
    const auto found = records_.find(number);
    // A conflict means that the row already says this or more: an earlier try took effect, or
    // another VM found out the same from the worker.
    const bool settled = result.state == table::commit_state::committed ||
                         result.state == table::commit_state::conflict;
    if (settled) {
        records_.erase(found);
        return;
    }
    auto& record = found->second;
    if (++record.tries >= max_record_tries) {
        ++counters_.abandoned_records;
        records_.erase(found);
        return;
    }
    record.in_flight = false;
    record.next_try = now_ + first_record_pause * (1U << record.tries);
}

void dispatcher::send_due_records()
{
    for (auto& [number, record] : records_) {
        if (!record.in_flight && now_ >= record.next_try) {
            record.in_flight = true;
            out_.emplace_back(write_ledger{number, record.transaction});
        }
    }
}

} // namespace poplarstile::dispatch
