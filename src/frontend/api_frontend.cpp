#include "frontend/api_frontend.hpp"

#include "base/event_line.hpp"
#include "batch/job_validation.hpp"
#include "frontend/internal/pending_call.hpp"
#include "store/row_keys.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace poplarstile::frontend
{
namespace
{

using internal::min_outage_retry;
using internal::retry_after_outage;

constexpr base::event_logger log{"door"};
constexpr std::size_t job_id_length = 16;
constexpr base::milliseconds retry_interval{80};
/// A submission that the store has not answered may take effect seconds later, and its caller may
/// repeat it in the meantime.
constexpr base::milliseconds uncertain_duration{30'000};

bool is_job_id(std::string_view text)
{
    return text.size() == job_id_length && std::ranges::all_of(text, [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
                      (letter >= 'A' && letter <= 'F');
           });
}

/// The job id at the end of a path, or an empty string. For logging calls whose queue is not known.
std::string job_id_at_end(std::string_view path)
{
    const auto last = path.substr(path.rfind('/') + 1);
    return is_job_id(last) ? std::string{last} : std::string{};
}

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

api_frontend::api_frontend(frontend_ports ports, frontend_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}
{
}

api_frontend::~api_frontend()
{
    *alive_ = false;
}

store::row_id api_frontend::jobs_row(std::size_t part, const std::string& key) const
{
    return {"jobs", options_.parts.name(part), key};
}

base::milliseconds api_frontend::store_outage() const
{
    auto shortest = base::milliseconds::max();
    for (const auto& part : options_.parts.names()) {
        const auto outage = ports_.rows->away(part);
        shortest = std::min(shortest, outage.value_or(base::milliseconds{0}));
    }
    return shortest;
}

std::optional<std::size_t> api_frontend::choose_part(const std::string& job) const
{
    const auto home = options_.parts.home_of(job);
    // Another part is allowed only if no earlier submission of the job can be stored in the
    // unavailable home part.
    const bool known_to_be_new = ports_.views->whole() && !is_uncertain(job);
    const auto candidate_count = known_to_be_new ? options_.parts.size() : 1;
    for (std::size_t step = 0; step < candidate_count; ++step) {
        const auto part = (home + step) % options_.parts.size();
        if (!ports_.rows->away(options_.parts.name(part))) {
            return part;
        }
    }
    return std::nullopt;
}

bool api_frontend::has_valid_configuration() const
{
    return ports_.configuration->current() != nullptr &&
           ports_.configuration->age() <= options_.oldest_configuration;
}

void api_frontend::handle(caller_call call, answer_handler answer)
{
    auto pending = std::make_shared<pending_call>();
    pending->call = std::move(call);
    pending->answer = std::move(answer);
    pending->received = ports_.time->now();
    pending->catalog = ports_.configuration->current();
    pending->job = job_id_at_end(pending->call.path);
    if (!has_valid_configuration()) {
        finish(pending, call_refused{call_refused::cause::no_configuration, min_outage_retry});
        return;
    }
    pending->queue = pending->catalog->match(pending->call.host, pending->call.path);
    if (pending->queue == nullptr) {
        finish(pending, no_such_queue{});
        return;
    }
    pending->job = pending->call.path.substr(pending->queue->prefix.size());
    const auto& key = pending->call.key;
    const auto* const workspace = key ? pending->catalog->workspace_of(*key) : nullptr;
    if (workspace == nullptr && !pending->queue->open_to_all) {
        finish(pending, key_unknown{});
        return;
    }
    pending->workspace = workspace == nullptr ? std::string{} : workspace->name;
    switch (pending->call.kind) {
    case call_kind::submit:
        submit(pending);
        return;
    case call_kind::show:
        if (pending->job.empty()) {
            show_queue(pending);
        } else {
            show(pending);
        }
        return;
    case call_kind::cancel:
        cancel(pending);
        return;
    }
}

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
    call->encoded_submission = batch::encode(accepted);
    if (call->encoded_submission.size() > options_.max_row_bytes) {
        finish(call, call_malformed{fmt::format("the job takes {} bytes to store, at most {}",
                                                call->encoded_submission.size(),
                                                options_.max_row_bytes)});
        return;
    }
    store_submission(call);
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
    ports_.rows->commit(std::move(insert),
                        [this, call, alive = alive_](const store::commit_reply& reply) {
                            if (*alive) {
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

void api_frontend::retry(const call_ptr& call, std::function<void()> operation,
                         caller_answer final_answer)
{
    if (call->time_left(ports_.time->now()) <= retry_interval + options_.answer_margin) {
        finish(call, std::move(final_answer));
        return;
    }
    ports_.time->after(retry_interval, [this, call, operation = std::move(operation),
                                        final_answer = std::move(final_answer), alive = alive_] {
        if (!*alive) {
            return;
        }
        // The VM may have been suspended meanwhile.
        if (call->time_left(ports_.time->now()) <= options_.answer_margin) {
            finish(call, final_answer);
        } else {
            operation();
        }
    });
}

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
