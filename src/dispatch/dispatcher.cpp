#include "dispatch/dispatcher.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace poplarstile::dispatch
{
namespace
{

using base::error;
using base::error_code;
using base::milliseconds;
using workers::execute_state;

constexpr std::array<std::string_view, 5> outcome_names{"completed", "failed", "rejected",
                                                        "not_run", "unknown"};

/// Weight of a new sample in the running mean of service times.
constexpr double service_time_weight = 0.05;
/// Longest single attempt at settling an attempt's fate.
constexpr milliseconds resolve_timeout{1'000};
/// Pause between questions to a worker about the same attempt.
constexpr milliseconds resolve_interval{100};
/// How long another VM's attempt may stay unseen at its worker before it is fenced.
constexpr milliseconds unseen_grace{2'000};
/// Part of the deadline kept for finding out what became of a lost attempt.
constexpr milliseconds resolve_reserve{300};
constexpr milliseconds retry_hint{1'000};
/// With less time left nothing is sent any more.
constexpr milliseconds least_attempt_time{2};
constexpr std::size_t max_attempts = 3;
constexpr std::uint32_t urgent_rank = 0;
/// Silence of this length speaks against a worker; a shorter one only against the deadline.
constexpr milliseconds telling_silence{1'000};
/// Idempotent work without an answer for this long is asked after on a connection of its own: the
/// one that it was sent on may have gone silent.
constexpr milliseconds silence_before_query{500};
/// Waiting requests that are passed over in one search for work that can start.
constexpr std::size_t max_passed_over = 256;
/// Unanswered calls in a row after which the table is asked by one request at a time.
constexpr std::uint32_t failures_to_distrust_table = 3;
constexpr std::size_t max_unconfirmed_records = 10'000;
constexpr std::uint32_t max_record_tries = 8;
constexpr milliseconds first_record_pause{200};

} // namespace

std::string_view to_string(outcome value)
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

dispatcher::dispatcher(const dispatcher_options& options,
                       std::span<const routing::worker_description> workers)
    : options_{options}, pool_{workers, options.pool, options.seed}, retries_{
                                                                         options.retry_budget_share}
{
}

actions dispatcher::decide(event happened, base::time_point now)
{
    now_ = now;
    out_.clear();
    std::visit([this](auto& occurred) { handle(occurred); }, happened);
    pump();
    return std::exchange(out_, {});
}

dispatcher_counters dispatcher::counters() const
{
    auto counters = counters_;
    counters.queued = queue_.size();
    counters.in_flight = pending_.size() - queue_.size();
    counters.unconfirmed_records = records_.size();
    return counters;
}

// Admission.

void dispatcher::handle(request_received& happened)
{
    const auto* kind = rules_->find_class(happened.request.service);
    if (auto refused = refusal(happened.request, kind)) {
        out_.emplace_back(give_answer{std::move(*refused)});
        return;
    }
    pending_request pending;
    pending.request = std::move(happened.request);
    pending.kind = *kind;
    const auto class_deadline = kind->deadline.value_or(options_.default_deadline);
    const auto allowed =
        std::min(pending.request.deadline.value_or(class_deadline), options_.max_deadline);
    pending.deadline = now_ + allowed;
    pending.rank = rank_of(*kind);
    const auto number = pending.request.number;
    auto& stored = pending_.insert_or_assign(number, std::move(pending)).first->second;
    if (!can_be_in_time(stored)) {
        answer_not_run(stored, error_code::request_overloaded,
                       "the wait for a worker would outlast the deadline");
        return;
    }
    if (kind->idempotent) {
        retries_.record_fresh_request();
    }
    queue_.push(number, stored.rank);
}

std::optional<caller_answer> dispatcher::refusal(const incoming_request& request,
                                                 const rules::class_rule* kind)
{
    const auto refuse = [&request](outcome result, error_code code, std::string place,
                                   std::string detail, milliseconds wait) {
        return caller_answer{request.number,
                             result,
                             error{code, std::move(place), std::move(detail), ""},
                             "",
                             "",
                             wait};
    };
    if (kind == nullptr) {
        return refuse(outcome::rejected, error_code::request_unknown_service, request.service, "",
                      milliseconds{0});
    }
    if (!rules_->has_workspace(request.workspace)) {
        return refuse(outcome::rejected, error_code::request_unknown_workspace, request.workspace,
                      "", milliseconds{0});
    }
    if (!kind->idempotent && request.idempotency_key.empty()) {
        return refuse(outcome::rejected, error_code::request_key_missing, request.service, "",
                      milliseconds{0});
    }
    if (queue_.size() >= options_.max_queued_requests) {
        return refuse(outcome::not_run, error_code::request_overloaded, options_.vm,
                      "the queue is full", retry_hint);
    }
    milliseconds wait{0};
    if (!within_rate(request.workspace, wait)) {
        return refuse(outcome::not_run, error_code::request_rate_limited, request.workspace, "",
                      wait);
    }
    return std::nullopt;
}

bool dispatcher::within_rate(std::string_view workspace, milliseconds& wait)
{
    const auto limit = rules_->rate_limit(workspace);
    if (!limit) {
        return true;
    }
    const auto rate = *limit / static_cast<double>(sharing_vms_);
    const auto burst = std::max(1.0, rate);
    const auto [entry, added] =
        rates_.try_emplace(std::string{workspace}, limits::token_bucket{rate, burst, now_});
    if (!added) {
        entry->second.set_rate(rate, burst, now_);
    }
    if (entry->second.try_take(now_)) {
        return true;
    }
    wait = entry->second.time_to_token(now_);
    return false;
}

std::uint32_t dispatcher::rank_of(const rules::class_rule& kind)
{
    if (kind.urgent_within) {
        return urgent_rank;
    }
    const auto known = ranks_.find(kind.name);
    if (known != ranks_.end()) {
        return known->second;
    }
    std::uint32_t rank = urgent_rank + 1;
    for (const auto& line : rules_->lines) {
        const auto* other = std::get_if<rules::class_rule>(&line.body);
        if (other != nullptr && other->name != kind.name &&
            rules_->goes_before(other->name, kind.name)) {
            ++rank;
        }
    }
    ranks_.emplace(kind.name, rank);
    return rank;
}

bool dispatcher::can_be_in_time(const pending_request& pending) const
{
    const auto capacity = std::max<std::uint32_t>(pool_.capacity(), 1);
    const auto ahead = static_cast<double>(queue_.size_up_to(pending.rank));
    const auto wait_ms = ahead * mean_service_ms_ / static_cast<double>(capacity);
    return wait_ms <= static_cast<double>(time_left(pending).count());
}

// Idempotent work.

void dispatcher::pump()
{
    std::vector<request_number> started;
    std::vector<request_number> unsendable;
    // Work of one kind that finds no worker must not hold up the other kind: canaries, for one, are
    // open to idempotent work only.
    bool room_for_idempotent = true;
    bool room_for_other = true;
    std::size_t passed_over = 0;
    queue_.for_each([&](request_number number) {
        auto* const pending = find(number);
        if (pending == nullptr || time_left(*pending) < least_attempt_time) {
            return true;
        }
        const bool idempotent = pending->kind.idempotent;
        bool& room = idempotent ? room_for_idempotent : room_for_other;
        if (room && !idempotent && !table_trusted() && reserving_ > 0) {
            unsendable.push_back(number);
            return true;
        }
        if (room && start(*pending)) {
            started.push_back(number);
            return true;
        }
        if (pending->tried.empty()) {
            room = false;
        }
        return (room_for_idempotent || room_for_other) && ++passed_over < max_passed_over;
    });
    for (const auto number : started) {
        queue_.remove(number);
    }
    for (const auto number : unsendable) {
        answer_not_run(pending_.at(number), error_code::platform_unreachable,
                       "the ledger does not answer, so the work was not sent");
    }
}

bool dispatcher::start(pending_request& pending)
{
    auto worker = pool_.select(now_, pending.kind.idempotent, pending.tried);
    if (!worker) {
        return false;
    }
    if (pending.kind.idempotent) {
        start_attempt(pending, *worker);
    } else {
        reserve(pending, *worker);
    }
    return true;
}

void dispatcher::start_attempt(pending_request& pending, routing::worker_index worker)
{
    const bool first = pending.attempts.empty();
    auto id = pending.kind.idempotent ? next_id('a') : pending.entry.attempt;
    if (pending.kind.idempotent) {
        pool_.begin(worker);
    }
    pending.where = stage::executing;
    pending.tried.push_back(worker);
    ++pending.uncertain_attempts;
    pending.attempts.push_back({id, worker, now_, now_ + silence_before_query});
    const auto& target = pool_.description(worker);
    note(first ? "request.sent" : "request.sent_again", pending, target.id);
    auto timeout = time_left(pending);
    if (!pending.kind.idempotent) {
        timeout = std::max(timeout - resolve_reserve, timeout / 2);
    }
    out_.emplace_back(send_execute{
        pending.request.number, target.address,
        workers::execute_call{pending.request.request_id, std::move(id), pending.request.service,
                              timeout, pending.kind.idempotent, pending.request.body}});
}

void dispatcher::handle(attempt_reported& happened)
{
    auto* pending = find(happened.number);
    if (pending == nullptr) {
        ++counters_.late_answers;
        return;
    }
    if (pending->where == stage::resolving && happened.attempt == pending->entry.attempt) {
        handle_resolution(*pending, happened.answer);
        return;
    }
    const auto found = std::ranges::find(pending->attempts, happened.attempt, &attempt_state::id);
    if (pending->where != stage::executing || found == pending->attempts.end()) {
        ++counters_.late_answers;
        return;
    }
    const auto attempt = *found;
    if (happened.asked) {
        handle_word_on_attempt(*pending, attempt, happened.answer);
        return;
    }
    pending->attempts.erase(found);
    finish_attempt(*pending, happened.answer, attempt);
}

void dispatcher::ask_after_silent_attempts()
{
    for (auto& [number, pending] : pending_) {
        if (!pending.kind.idempotent || pending.where != stage::executing) {
            continue;
        }
        for (auto& attempt : pending.attempts) {
            if (now_ < attempt.next_query || time_left(pending) < least_attempt_time) {
                continue;
            }
            attempt.next_query = now_ + silence_before_query * 2;
            const auto timeout = std::min(time_left(pending), silence_before_query);
            out_.emplace_back(
                send_query{number, pool_.description(attempt.worker).address, attempt.id, timeout});
        }
    }
}

void dispatcher::handle_word_on_attempt(pending_request& pending, const attempt_state& attempt,
                                        const workers::execute_answer& answer)
{
    if (answer.state == execute_state::running) {
        return;
    }
    auto known = answer;
    const bool has_result =
        answer.state == execute_state::completed || answer.state == execute_state::failed;
    if (!has_result) {
        // Not seen, or its worker can't be asked: it may still run, but no answer is to be
        // expected.
        known.state = execute_state::lost;
    }
    const auto ended = attempt;
    std::erase_if(pending.attempts,
                  [&ended](const attempt_state& each) { return each.id == ended.id; });
    finish_attempt(pending, known, ended);
}

namespace
{

/// For answers; silence is judged by its length.
routing::attempt_verdict verdict_of(const workers::execute_answer& answer)
{
    switch (answer.state) {
    case execute_state::completed:
        return routing::attempt_verdict::succeeded;
    case execute_state::failed:
        return routing::attempt_verdict::failed;
    case execute_state::refused:
        return answer.leaving ? routing::attempt_verdict::neutral : routing::attempt_verdict::busy;
    case execute_state::not_sent:
        return routing::attempt_verdict::unreachable;
    case execute_state::lost:
    case execute_state::fenced:
    case execute_state::running:
    case execute_state::never_seen:
        return routing::attempt_verdict::neutral;
    }
    return routing::attempt_verdict::neutral;
}

bool certainly_not_run(const workers::execute_answer& answer)
{
    return answer.state == execute_state::refused || answer.state == execute_state::not_sent ||
           answer.state == execute_state::fenced;
}

} // namespace

void dispatcher::finish_attempt(pending_request& pending, const workers::execute_answer& answer,
                                const attempt_state& attempt)
{
    const bool silent = answer.state == execute_state::lost;
    pool_.end(attempt.worker, silent ? silence_verdict(attempt) : verdict_of(answer), now_);
    const auto& worker = pool_.description(attempt.worker).id;
    if (certainly_not_run(answer)) {
        --pending.uncertain_attempts;
    }
    if (answer.leaving) {
        pool_.set_leaving(attempt.worker, true);
    }
    if (answer.state == execute_state::completed) {
        const std::chrono::duration<double, std::milli> service = now_ - attempt.started;
        mean_service_ms_ += service_time_weight * (service.count() - mean_service_ms_);
    }
    if (!pending.kind.idempotent) {
        handle_resolution(pending, answer);
        return;
    }
    if (answer.state == execute_state::completed) {
        this->answer(pending, outcome::completed, {}, worker, answer.body);
        return;
    }
    if (!pending.attempts.empty()) {
        return;
    }
    retry_or_answer(pending, answer, worker);
}

routing::attempt_verdict dispatcher::silence_verdict(const attempt_state& attempt) const
{
    // A caller's short deadline must not take healthy workers out.
    return now_ - attempt.started >= telling_silence ? routing::attempt_verdict::unreachable
                                                     : routing::attempt_verdict::neutral;
}

void dispatcher::retry_or_answer(pending_request& pending, const workers::execute_answer& answer,
                                 const std::string& worker)
{
    // A refusal or a failed connection cost the worker nothing, so it is not charged.
    const bool free_of_charge = certainly_not_run(answer);
    const bool may_retry = free_of_charge || pending.tried.size() < max_attempts;
    if (may_retry && (free_of_charge || retries_.try_spend())) {
        ++counters_.retries;
        if (answer.state == execute_state::refused && pending.tried.size() >= pool_.size()) {
            pending.tried.clear();
        }
        pending.where = stage::queued;
        queue_.push(pending.request.number, pending.rank);
        return;
    }
    if (answer.state == execute_state::failed) {
        this->answer(pending, outcome::failed,
                     error{error_code::worker_attempt_failed, worker, "", ""}, worker, answer.body);
        return;
    }
    if (pending.uncertain_attempts == 0) {
        answer_not_run(pending, error_code::worker_none_available, "");
        return;
    }
    this->answer(pending, outcome::unknown,
                 error{error_code::worker_outcome_unknown, worker,
                       "the worker did not answer and the retry budget is spent",
                       "the class is idempotent: send it again"},
                 worker, "", retry_hint);
}

void dispatcher::hedge_slow_requests()
{
    for (auto& [number, pending] : pending_) {
        const bool may_hedge = pending.kind.idempotent && pending.kind.hedge_after &&
                               pending.where == stage::executing && !pending.hedged &&
                               time_left(pending) >= least_attempt_time &&
                               pending.attempts.size() == 1;
        if (!may_hedge || now_ - pending.attempts.front().started < *pending.kind.hedge_after) {
            continue;
        }
        const auto worker = pool_.select(now_, true, pending.tried);
        if (worker && retries_.try_spend()) {
            pending.hedged = true;
            ++counters_.hedges;
            start_attempt(pending, *worker);
        }
    }
}

// Work that is not idempotent.

void dispatcher::reserve(pending_request& pending, routing::worker_index worker)
{
    pool_.begin(worker);
    ++reserving_;
    pending.reserved_worker = worker;
    pending.where = stage::reserving;
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
    using platform::commit_state;
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
        pending->key_taken =
            pending->key_taken || (state == commit_state::conflict && !pending->write_in_doubt);
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

void dispatcher::handle_entry(pending_request& pending, const platform::table_row& row)
{
    auto read = ledger::read_entry(row);
    if (!read.has_value()) {
        release_reserved(pending);
        answer_not_run(pending, error_code::platform_answer_invalid, read.error().detail);
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

void dispatcher::finish_record(request_number number, const platform::commit_result& result)
{
    const auto found = records_.find(number);
    // A conflict means that the row already says this or more: an earlier try took effect, or
    // another VM found out the same from the worker.
    const bool settled = result.state == platform::commit_state::committed ||
                         result.state == platform::commit_state::conflict;
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

// Time and settings.

void dispatcher::handle(time_passed& /*event*/)
{
    expire_overdue();
    hedge_slow_requests();
    ask_after_silent_attempts();
    send_due_queries();
    send_due_records();
}

void dispatcher::expire_overdue()
{
    std::vector<request_number> overdue;
    for (const auto& [number, pending] : pending_) {
        if (now_ >= pending.deadline) {
            overdue.push_back(number);
        }
    }
    for (const auto number : overdue) {
        auto& pending = pending_.at(number);
        for (const auto& attempt : pending.attempts) {
            pool_.end(attempt.worker, silence_verdict(attempt), now_);
        }
        if (pending.where == stage::reserving) {
            release_reserved(pending);
        }
        const bool under_way = !pending.attempts.empty() || pending.asks_for_other ||
                               (pending.where == stage::reserving && pending.key_taken);
        if (pending.uncertain_attempts == 0 && !under_way) {
            ++counters_.dropped_late;
            answer_not_run(pending, error_code::request_deadline_passed, "");
            continue;
        }
        if (pending.asks_for_other) {
            answer(pending, outcome::unknown,
                   error{error_code::request_key_in_progress, pending.entry.worker, "", ""},
                   pending.entry.worker, "", retry_hint);
            continue;
        }
        answer(pending, outcome::unknown,
               error{error_code::worker_outcome_unknown, "", "no whole answer within the deadline",
                     ""},
               "", "", retry_hint);
    }
}

void dispatcher::handle(rules_changed& happened)
{
    rules_ = std::move(happened.rules);
    ranks_.clear();
    for (routing::worker_index worker = 0; worker < pool_.size(); ++worker) {
        pool_.set_avoided(worker, rules_->avoids(pool_.description(worker).id));
    }
}

void dispatcher::handle(sharing_vms_changed& happened)
{
    const auto vms = std::max<std::size_t>(happened.vms, 1);
    if (vms != sharing_vms_) {
        sharing_vms_ = vms;
        pool_.set_sharing_vms(vms);
    }
}

void dispatcher::handle(worker_condition_changed& happened)
{
    if (const auto worker = pool_.find(happened.worker)) {
        pool_.set_leaving(*worker, happened.leaving);
    }
}

// Ends.

void dispatcher::answer(pending_request& pending, outcome result, std::optional<error> failure,
                        std::string worker, std::string body, milliseconds retry_after)
{
    const auto number = pending.request.number;
    for (const auto& attempt : pending.attempts) {
        // A hedge that lost: its connection is closed by its own timeout, its slot is free for us.
        if (result == outcome::completed) {
            pool_.end(attempt.worker, routing::attempt_verdict::neutral, now_);
        }
    }
    note("request.answered", pending, std::string{to_string(result)});
    out_.emplace_back(give_answer{
        {number, result, std::move(failure), std::move(worker), std::move(body), retry_after}});
    queue_.remove(number);
    pending_.erase(number);
}

void dispatcher::answer_not_run(pending_request& pending, error_code code, std::string detail)
{
    answer(pending, outcome::not_run, error{code, pending.request.service, std::move(detail), ""},
           "", "", retry_hint);
}

dispatcher::pending_request* dispatcher::find(request_number number)
{
    const auto found = pending_.find(number);
    return found == pending_.end() ? nullptr : &found->second;
}

std::string dispatcher::next_id(char kind)
{
    return fmt::format("{}-{}-{}{}", options_.vm, options_.run_id, kind, next_number_++);
}

milliseconds dispatcher::time_left(const pending_request& pending) const
{
    return std::chrono::duration_cast<milliseconds>(pending.deadline - now_);
}

void dispatcher::note(std::string kind, const pending_request& pending, std::string detail)
{
    out_.emplace_back(note_event{std::move(kind), "request/" + pending.request.request_id,
                                 pending.request.idempotency_key, std::move(detail)});
}

} // namespace poplarstile::dispatch
