#include "dispatch/dispatcher.hpp"

#include "dispatch/internal/dispatcher_limits.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

/// Attempts on workers, their retries and hedges: the idempotent side of the dispatcher.
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
        pool_.set_leaving(attempt.worker, now_);
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

} // namespace poplarstile::dispatch
