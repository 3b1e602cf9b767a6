#include "caller_gateway.hpp"

#include "answers.hpp"

#include "base/log.hpp"
#include "gateway/caller_request.hpp"

#include <fmt/format.h>

#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error_code;
using dispatch::outcome;

constexpr base::logger log{"callers"};
constexpr base::milliseconds not_ready_retry{1'000};
/// Beyond the longest deadline, so that the dispatcher's answer always comes first.
constexpr base::milliseconds handler_margin{5'000};

void refuse(const net::http_responder& responder, outcome result, const base::error& failure,
            base::milliseconds retry_after = base::milliseconds{0})
{
    responder.send(error_response(result, failure, retry_after));
}

void log_closed(const net::request_bounds_counters& counted)
{
    using net::closing_cause;
    log.warning(
        "Closed connections so far: {} for memory, {} for their number, {} that stalled, {} "
        "for the length of a body. Requests have {} bytes.",
        counted.closed_for(closing_cause::memory), counted.closed_for(closing_cause::connections),
        counted.closed_for(closing_cause::stalled),
        counted.closed_for(closing_cause::body_too_long), counted.held_bytes);
}

} // namespace

caller_gateway::caller_gateway(node& owner, dispatch_duty& dispatch, job_gateway& jobs)
    : node_{owner}, dispatch_{dispatch}, jobs_{jobs}
{
}

base::result<void> caller_gateway::start()
{
    const auto& settings = node_.settings;
    net::http_server_options options;
    options.address = settings.listen.address;
    options.port = settings.listen.caller_port;
    options.max_connections = settings.limits.max_caller_connections;
    options.max_connections_per_address = settings.limits.max_connections_per_caller;
    options.max_body_bytes = settings.limits.max_body_bytes;
    options.max_header_bytes = settings.limits.max_header_bytes;
    options.read_timeout = settings.times.caller_read_timeout;
    options.handle_timeout = settings.times.max_deadline + handler_margin;
    options.on_closed = log_closed;
    BOOST_OUTCOME_TRY(
        server, net::http_server::start(options, [this](const net::http_request& request,
                                                        const net::http_responder& responder) {
            handle(request, responder);
        }));
    server_ = std::move(server);
    shutdown_.emplace(*server_);
    return base::success();
}

bool caller_gateway::may_end()
{
    return shutdown_->may_end(base::now());
}

void caller_gateway::record_bounds(daemon_metrics& metrics) const
{
    if (server_) {
        metrics.record_bounds("callers", server_->bounds_counters());
    }
}

void caller_gateway::log_open() const
{
    if (server_) {
        log.info("Ends with {} requests and {} connections of callers open, {} ms after the newest "
                 "request.",
                 server_->open_requests(), server_->open_connections(),
                 server_->since_newest_request().count());
    }
}

void caller_gateway::handle(const net::http_request& request, const net::http_responder& responder)
{
    const auto path_text = request.path;
    const auto path = net::split_path(path_text);
    if (path_text == "/readyz" || path_text == "/healthz") {
        const bool up = path_text == "/healthz" || node_.takes_work();
        responder.send(json_response(up ? 200 : 503, {{"ready", up}}));
        return;
    }
    if (request.over_connection_limit) {
        auto response = error_response(
            outcome::not_run,
            {error_code::request_too_many_connections, request.remote_address, "", ""},
            not_ready_retry);
        response.close = true;
        responder.send(std::move(response));
        return;
    }
    const bool is_short =
        request.method == "POST" && path.size() == 3 && path[0] == "v1" && path[1] == "requests";
    const bool is_job = path.size() >= 2 && path[0] == "v1" && path[1] == "jobs";
    if (!is_short && !is_job) {
        refuse(responder, outcome::rejected,
               {error_code::request_unknown_path, fmt::format("{} {}", request.method, path_text),
                "", ""});
        return;
    }
    const bool reads_only = request.method == "GET";
    if (!node_.takes_work() && !reads_only) {
        refuse(responder, outcome::not_run,
               {error_code::request_not_ready, node_.settings.vm.id, "", ""}, not_ready_retry);
        return;
    }
    if (is_short) {
        handle_short(request, path[2], responder);
    } else {
        handle_job(request, path, responder);
    }
}

void caller_gateway::handle_short(const net::http_request& request, std::string_view service,
                                  const net::http_responder& responder)
{
    auto checked =
        gateway::read_short_request(request, service, node_.settings.limits.max_json_depth);
    if (!checked.has_value()) {
        refuse(responder, outcome::rejected, checked.error());
        return;
    }
    auto incoming = std::move(checked).value();
    if (incoming.request_id.empty()) {
        incoming.request_id =
            fmt::format("{}-{}-{}", node_.settings.vm.id, node_.run_id, base::wall_clock_us());
    }
    if (!dispatch_.submit(std::move(incoming), responder)) {
        refuse(responder, outcome::not_run,
               {error_code::request_overloaded, node_.settings.vm.id, "the queue is full", ""},
               not_ready_retry);
    }
}

void caller_gateway::handle_job(const net::http_request& request,
                                std::span<const std::string_view> path,
                                const net::http_responder& responder)
{
    if (path.size() == 2 && request.method == "POST") {
        jobs_.submit(request, responder);
        return;
    }
    if (path.size() == 3 && request.method == "GET") {
        jobs_.show(path[2], responder);
        return;
    }
    if (path.size() == 3 && request.method == "DELETE") {
        jobs_.cancel(path[2], responder);
        return;
    }
    refuse(responder, outcome::rejected,
           {error_code::request_unknown_path, fmt::format("{} {}", request.method, request.path),
            "", ""});
}

} // namespace poplarstile::daemon
