#include "frontend/api_frontend.hpp"

#include "frontend/internal/pending_call.hpp"

#include <algorithm>
#include <utility>

/// Directing each call to what it asks for, choosing a part of the store, and retries.
namespace poplarstile::frontend
{
namespace
{

using internal::is_job_id;
using internal::min_outage_retry;

constexpr base::milliseconds retry_interval{80};

/// The job id at the end of a path, or an empty string. For logging calls whose queue is not known.
std::string job_id_at_end(std::string_view path)
{
    const auto last = path.substr(path.rfind('/') + 1);
    return is_job_id(last) ? std::string{last} : std::string{};
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

} // namespace poplarstile::frontend
