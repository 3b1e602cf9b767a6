#include "base/event_line.hpp"
#include "frontend/internal/pending_call.hpp"

#include <array>
#include <utility>

/// Answers to callers, each of which is counted and logged.
namespace poplarstile::frontend
{
namespace
{

std::string_view outcome_of(const caller_answer& answer)
{
    static constexpr std::array<std::string_view, 11> names{
        "accepted",  "cancel_accepted", "shown",       "queue_shown", "refused",
        "unsettled", "no_such_queue",   "no_such_job", "key_unknown", "key_of_another_workspace",
        "malformed"};
    return names.at(answer.index());
}

std::string_view name_of(call_refused::cause why)
{
    static constexpr std::array<std::string_view, 4> names{"no_configuration", "store_away",
                                                           "overloaded", "leaving"};
    return names.at(static_cast<std::size_t>(why));
}

std::string_view name_of(call_kind kind)
{
    static constexpr std::array<std::string_view, 3> names{"submit", "show", "cancel"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace

void api_frontend::finish(const call_ptr& call, caller_answer answer)
{
    if (!call->answer) {
        return;
    }
    counters_.accepted += std::holds_alternative<job_accepted>(answer) ? 1 : 0;
    counters_.unsettled += std::holds_alternative<call_outcome_unknown>(answer) ? 1 : 0;
    const auto* const refused = std::get_if<call_refused>(&answer);
    counters_.refused += refused != nullptr ? 1 : 0;
    const bool is_read = call->call.kind == call_kind::show;
    const bool is_status =
        std::holds_alternative<job_shown>(answer) || std::holds_alternative<queue_shown>(answer);
    const auto level = is_read && is_status ? base::log_level::debug : base::log_level::info;
    const auto age = ports_.configuration->age();
    const auto* const shown = std::get_if<job_shown>(&answer);
    base::write_event_line(
        level, "door", "answered",
        {{"job", call->job},
         {"call", name_of(call->call.kind)},
         {"outcome", outcome_of(answer)},
         {"why", refused != nullptr ? name_of(refused->why) : std::string_view{}},
         {"status", shown != nullptr ? batch::name_of(shown->status) : std::string_view{}},
         {"queue", call->queue != nullptr ? call->queue->policy.queue : std::string{}},
         {"workspace", call->workspace},
         {"basis", call->basis},
         {"configuration", call->catalog ? call->catalog->version() : 0},
         {"configuration_age_ms", age == base::milliseconds::max() ? -1 : age.count()},
         {"store_tries", call->attempts},
         {"took_ms", base::milliseconds_between(call->received, ports_.time->now())}});
    const auto handler = std::exchange(call->answer, nullptr);
    handler(std::move(answer));
}

} // namespace poplarstile::frontend
