#include "dispatch/dispatcher.hpp"

#include "dispatch/internal/dispatcher_limits.hpp"

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
using namespace internal;

constexpr std::array<std::string_view, 5> outcome_names{"completed", "failed", "rejected",
                                                        "not_run", "unknown"};

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
