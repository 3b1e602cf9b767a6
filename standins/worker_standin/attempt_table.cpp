#include "standins/worker_standin/attempt_table.hpp"

#include <utility>

namespace poplarstile::standins::worker_standin
{
namespace
{

/// Ids remembered by one worker; the oldest ended one is forgotten first.
constexpr std::size_t max_known_attempts = 200'000;
constexpr std::int64_t default_service_ms = 5;

} // namespace

std::string_view name_of(attempt_state state)
{
    switch (state) {
    case attempt_state::never_seen:
        return "never_seen";
    case attempt_state::running:
        return "running";
    case attempt_state::completed:
        return "completed";
    case attempt_state::failed:
        return "failed";
    case attempt_state::fenced:
        return "fenced";
    }
    return "never_seen";
}

attempt_table::attempt_table(std::string worker, std::size_t slots, record_book& records)
    : worker_{std::move(worker)}, slots_{slots}, records_{records}
{
}

execute_answer attempt_table::start(const execute_message& message,
                                    const worker_condition& condition, const instant& now)
{
    const auto known = find(message.attempt);
    if (known.state == attempt_state::fenced) {
        return attempt_refused{execute_refusal::fenced, known.state};
    }
    if (known.state != attempt_state::never_seen) {
        return attempt_refused{execute_refusal::known, known.state};
    }
    if (condition.leaving) {
        return attempt_refused{execute_refusal::leaving, known.state};
    }
    if (slots_busy_ >= slots_) {
        return attempt_refused{execute_refusal::busy, known.state};
    }
    const auto& body = message.body;
    const bool has_members = body.is_object();
    entry fresh;
    fresh.view = {attempt_state::running, message.request, json{}};
    fresh.marker = has_members ? body.value("marker", json{}) : json{};
    fresh.will_fail = condition.failing || (has_members && body.value("fail", false));
    const auto service_ms =
        has_members ? body.value("service_ms", default_service_ms) : default_service_ms;
    fresh.record = records_.add(execution_record{.worker = worker_,
                                                 .request = message.request,
                                                 .attempt = message.attempt,
                                                 .service = message.service,
                                                 .idempotent = message.idempotent,
                                                 .marker = fresh.marker,
                                                 .started_us = now.wall_us});
    remember(message.attempt, std::move(fresh));
    ++slots_busy_;
    return attempt_started{base::milliseconds{service_ms}};
}

std::optional<attempt_view> attempt_table::finish(const std::string& attempt, const instant& now)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.view.state != attempt_state::running) {
        return std::nullopt;
    }
    auto& current = found->second;
    current.view.state = current.will_fail ? attempt_state::failed : attempt_state::completed;
    current.view.body = {{"echo", std::move(current.marker)}, {"worker", worker_}};
    --slots_busy_;
    records_.end_execution(current.record, name_of(current.view.state), now.wall_us);
    return current.view;
}

attempt_view attempt_table::find(const std::string& attempt) const
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? attempt_view{} : found->second.view;
}

attempt_view attempt_table::fence(const std::string& attempt)
{
    auto known = find(attempt);
    if (known.state != attempt_state::never_seen) {
        return known;
    }
    entry fresh;
    fresh.view.state = attempt_state::fenced;
    return remember(attempt, std::move(fresh)).view;
}

void attempt_table::die(const instant& now)
{
    for (auto& [id, current] : attempts_) {
        if (current.view.state == attempt_state::running) {
            current.view.state = attempt_state::failed;
            records_.end_execution(current.record, "died", now.wall_us);
        }
    }
    slots_busy_ = 0;
}

attempt_table::entry& attempt_table::remember(const std::string& attempt, entry fresh)
{
    if (oldest_first_.size() >= max_known_attempts) {
        auto oldest = std::move(oldest_first_.front());
        oldest_first_.pop_front();
        const auto found = attempts_.find(oldest);
        if (found != attempts_.end() && found->second.view.state == attempt_state::running) {
            oldest_first_.push_back(std::move(oldest));
        } else {
            attempts_.erase(oldest);
        }
    }
    oldest_first_.push_back(attempt);
    return attempts_.insert_or_assign(attempt, std::move(fresh)).first->second;
}

} // namespace poplarstile::standins::worker_standin
