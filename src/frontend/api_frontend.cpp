#include "frontend/api_frontend.hpp"

#include "base/event_line.hpp"
#include "frontend/internal/pending_call.hpp"
#include "frontend/job_validation.hpp"
#include "store/row_keys.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace poplarstile::frontend
{
namespace
{

using internal::outage_retry;
using internal::retry_after_outage;

constexpr base::event_logger log{"door"};
constexpr std::size_t job_id_length = 16;
constexpr base::milliseconds retry_pause{80};
/// A submission without an answer may take effect seconds later, and its caller may come again.
constexpr base::milliseconds doubt_time{30'000};

bool is_job_id(std::string_view text)
{
    return text.size() == job_id_length && std::ranges::all_of(text, [](char letter) {
               return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
                      (letter >= 'A' && letter <= 'F');
           });
}

/// The id that a path ends in, for logs of calls whose queue is not known; else empty.
std::string id_at_end(std::string_view path)
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
        const auto away = ports_.rows->away(part);
        shortest = std::min(shortest, away.value_or(base::milliseconds{0}));
    }
    return shortest;
}

std::optional<std::size_t> api_frontend::choose_part(const std::string& job) const
{
    const auto home = options_.parts.home_of(job);
    // Elsewhere only where no earlier submission of the job can lie in the part that is away.
    const bool surely_new = ports_.views->whole() && !doubtful_.contains(job);
    const auto most = surely_new ? options_.parts.size() : 1;
    for (std::size_t step = 0; step < most; ++step) {
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
    pending->job = id_at_end(pending->call.path);
    if (!has_valid_configuration()) {
        finish(pending, call_refused{call_refused::cause::no_configuration, outage_retry});
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
    doubtful_[job] = ports_.time->now() + doubt_time;
}

bool api_frontend::doubtful(const std::string& job)
{
    std::erase_if(doubtful_,
                  [now = ports_.time->now()](const auto& entry) { return entry.second < now; });
    return doubtful_.contains(job);
}

void api_frontend::submit(const call_ptr& call)
{
    ++counters_.submitted;
    if (!is_job_id(call->job)) {
        finish(call, call_malformed{"the path does not end in a job id"});
        return;
    }
    if (ports_.views->knows(call->job)) {
        // The same submission once more.
        finish(call, job_accepted{});
        return;
    }
    auto decoded = ports_.decode(call->call.body);
    if (!decoded.has_value()) {
        finish(call, call_malformed{decoded.error().detail});
        return;
    }
    if (const auto fault = validation_error(decoded.value())) {
        finish(call, call_malformed{*fault});
        return;
    }
    batch::submission accepted;
    accepted.job = call->job;
    accepted.workspace = call->workspace;
    accepted.policy = call->queue->policy;
    accepted.spec = std::move(decoded).value();
    accepted.accepted_ms = ports_.time->unix_ms();
    call->row = batch::encode(accepted);
    store_submission(call);
}

void api_frontend::store_submission(const call_ptr& call)
{
    // A try whose effect is not known is only ever repeated where it was made.
    const auto part = call->in_doubt ? call->part : choose_part(call->job);
    if (!part) {
        if (doubtful(call->job)) {
            // An earlier call may have had an effect: only the store can tell, and it may be back
            // within the caller's patience.
            retry(
                call, [this, call] { store_submission(call); }, call_outcome_unknown{});
            return;
        }
        // Nothing was sent, so this call certainly had no effect.
        finish(call,
               call_refused{call_refused::cause::store_away, retry_after_outage(store_outage())});
        return;
    }
    call->part = part;
    ++call->tries;
    const auto row = jobs_row(*part, call->job);
    store::transaction insert;
    insert.expected.push_back({row, 0});
    insert.puts.push_back({row, call->row});
    ports_.rows->commit(std::move(insert),
                        [this, call, alive = alive_](const store::commit_reply& reply) {
                            if (*alive) {
                                take_submission_reply(call, reply);
                            }
                        });
}

void api_frontend::take_submission_reply(const call_ptr& call, const store::commit_reply& reply)
{
    switch (reply.outcome) {
    case store::call_outcome::done:
        ports_.on_stored({jobs_row(*call->part, call->job), call->row, reply.version});
        ports_.views->note(
            {call->job, call->queue->policy.queue, call->workspace, batch::job_status::pending});
        finish(call, job_accepted{});
        return;
    case store::call_outcome::conflict:
        // The job is there already, by this call's earlier try or by one that came before.
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
    retry(
        call, [this, call] { store_submission(call); },
        call->in_doubt
            ? caller_answer{call_outcome_unknown{}}
            : caller_answer{call_refused{call_refused::cause::store_away, outage_retry}});
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
    find_job(call, [this, call](const store::row* row) {
        if (row == nullptr) {
            finish(call, no_such_job{});
        } else {
            store_cancel(call);
        }
    });
}

void api_frontend::store_cancel(const call_ptr& call)
{
    // The leader takes a wish to cancel from any part.
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
                finish(call, cancel_accepted{});
                return;
            }
            call->in_doubt = call->in_doubt || reply.outcome == store::call_outcome::unknown;
            retry(
                call, [this, call] { store_cancel(call); }, call_outcome_unknown{});
        });
}

void api_frontend::retry(const call_ptr& call, std::function<void()> again, caller_answer otherwise)
{
    const auto waited =
        std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - call->received);
    if (waited + retry_pause + options_.answer_margin >= call->call.timeout) {
        finish(call, std::move(otherwise));
        return;
    }
    ports_.time->after(retry_pause, [again = std::move(again), alive = alive_] {
        if (*alive) {
            again();
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
    const bool read = call->call.kind == call_kind::show;
    const bool plain =
        std::holds_alternative<job_shown>(answer) || std::holds_alternative<queue_shown>(answer);
    const auto level = read && plain ? base::log_level::debug : base::log_level::info;
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
         {"configuration", call->catalog ? call->catalog->version() : 0},
         {"configuration_age_ms", age == base::milliseconds::max() ? -1 : age.count()},
         {"store_tries", call->tries},
         {"took_ms", base::milliseconds_between(call->received, ports_.time->now())}});
    const auto handler = std::exchange(call->answer, nullptr);
    handler(std::move(answer));
}

} // namespace poplarstile::frontend
