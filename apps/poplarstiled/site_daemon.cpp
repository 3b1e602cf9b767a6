#include "site_daemon.hpp"

#include "base/event_line.hpp"
#include "platform/caller_port.hpp"
#include "site_parts.hpp"

#include <fmt/format.h>

#include <csignal>

#include <charconv>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr base::event_logger log{"daemon"};
constexpr base::milliseconds flush_interval{50};
constexpr base::milliseconds settings_poll{2'000};
constexpr base::milliseconds traffic_interval{5'000};
/// The balancer needs two questions, a second apart, to learn that this VM leaves.
constexpr base::milliseconds leave_notice{2'500};
/// Kept free at the end of the grace for the exit itself.
constexpr base::milliseconds exit_margin{1'200};
constexpr base::milliseconds leave_poll{100};
constexpr base::milliseconds unready_after{300};

struct endpoint {
    std::string address;
    std::uint16_t port = 0;
};

/// The settings were checked, so there is a colon and a port.
endpoint split(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint parsed{text.substr(0, colon), 0};
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), parsed.port);
    return parsed;
}

void log_closed(net::port_use use, const net::request_bounds_counters& counted)
{
    using net::closing_cause;
    log.warning("connections_closed",
                {{"port", net::name_of(use)},
                 {"memory", counted.closed_for(closing_cause::memory)},
                 {"connections", counted.closed_for(closing_cause::connections)},
                 {"stalled", counted.closed_for(closing_cause::stalled)},
                 {"body_too_long", counted.closed_for(closing_cause::body_too_long)},
                 {"held_bytes", counted.held_bytes}});
}

} // namespace

site_daemon::site_daemon(std::unique_ptr<parts> made) : parts_{std::move(made)} {}

site_daemon::~site_daemon() = default;

base::result<std::unique_ptr<site_daemon>> site_daemon::start(settings::site_settings settings,
                                                              std::string settings_path)
{
    auto made = std::make_unique<parts>(std::move(settings));
    made->settings_path = std::move(settings_path);
    if (auto text = settings::read_settings_file(made->settings_path); text.has_value()) {
        made->settings_text = std::move(text).value();
    }
    base::event_line_options lines;
    lines.least = base::log_level_named(made->settings.log_level);
    base::start_event_lines(made->settings.vm.id, lines);
    BOOST_OUTCOME_TRYV(made->build());
    BOOST_OUTCOME_TRYV(made->listen());
    log.info("started", {{"failure_domain", made->settings.vm.failure_domain},
                         {"peers_at", made->settings.listen.peers},
                         {"life", made->self.incarnation},
                         {"store", made->settings.store.address}});
    return std::unique_ptr<site_daemon>{new site_daemon{std::move(made)}};
}

void site_daemon::run()
{
    parts_->configuration->start();
    parts_->node->start();
    parts_->wait_for_signal();
    parts_->flush_later();
    parts_->poll_settings();
    parts_->context.run();
    const auto& callers = *parts_->caller_port;
    log.info("stopped", {{"lease_returned", parts_->lease_returned},
                         {"open_requests", callers.open_requests()},
                         {"open_connections", callers.open_connections()},
                         {"newest_request_ms_ago", callers.since_newest_request().count()}});
    base::flush_event_lines();
}

base::result<std::unique_ptr<net::http_server>>
site_daemon::parts::serve(const std::string& at, net::port_use use, net::http_handler handler)
{
    constexpr std::size_t mib = std::size_t{1024} * 1024;
    const auto& limits = settings.limits;
    const auto where = split(at);
    net::http_server_options options;
    options.address = where.address;
    options.port = where.port;
    options.context = &context;
    options.max_body_bytes = 4 * mib;
    options.max_header_bytes = std::size_t{16} * 1024;
    options.stall_timeout = limits.request_stall_time;
    options.on_closed = [use](const net::request_bounds_counters& counted) {
        log_closed(use, counted);
    };
    net::set_port_bounds(options, use, {limits.descriptors, limits.memory_mb});
    if (use == net::port_use::callers && limits.request_memory_mb > 0) {
        options.max_request_memory = limits.request_memory_mb * mib;
    }
    if (use == net::port_use::callers && limits.caller_connections > 0) {
        options.max_connections = limits.caller_connections;
    }
    return net::http_server::start(options, std::move(handler));
}

base::result<void> site_daemon::parts::listen()
{
    using net::port_use;
    BOOST_OUTCOME_TRY(
        callers, serve(settings.listen.callers, port_use::callers,
                       [this](net::http_request request, const net::http_responder& responder) {
                           handle_caller(std::move(request), responder);
                       }));
    caller_port = std::move(callers);
    caller_shutdown.emplace(*caller_port);
    follow_request_limits();
    BOOST_OUTCOME_TRY(readiness, serve(settings.listen.readiness, port_use::monitoring,
                                       [this](const net::http_request& request,
                                              const net::http_responder& responder) {
                                           handle_readiness(request, responder);
                                       }));
    readiness_port = std::move(readiness);
    BOOST_OUTCOME_TRY(peer_server, serve(settings.listen.peers, port_use::peers,
                                         [this](const net::http_request& request,
                                                const net::http_responder& responder) {
                                             handle_peer(request, responder);
                                         }));
    peer_port = std::move(peer_server);
    BOOST_OUTCOME_TRY(metrics_server, serve(settings.listen.metrics, port_use::monitoring,
                                            [this](const net::http_request& /*request*/,
                                                   const net::http_responder& responder) {
                                                handle_metrics(responder);
                                            }));
    metrics_port = std::move(metrics_server);
    return base::success();
}

void site_daemon::parts::follow_request_limits()
{
    const auto known = configuration->current();
    const auto limits = known ? known->parts().limits : catalog::request_limits{};
    caller_port->set_max_body_bytes(limits.max_body_bytes);
}

bool site_daemon::parts::ready() const
{
    return !leaving && frontend->has_valid_configuration() &&
           frontend->store_outage() < unready_after;
}

void site_daemon::parts::handle_readiness(const net::http_request& request,
                                          const net::http_responder& responder)
{
    net::http_response response;
    const bool asked = platform::is_readiness_question(request);
    response.status = !asked ? 404 : ready() ? 200 : 503;
    response.body = "{}";
    responder.send(std::move(response));
}

void site_daemon::parts::handle_metrics(const net::http_responder& responder)
{
    net::http_response response;
    response.content_type = "text/plain; version=0.0.4";
    metrics->record_traffic(client->account());
    metrics->record_traffic(worker_client->account());
    metrics->record_bounds("callers", caller_port->bounds_counters());
    metrics->record_bounds("peers", peer_port->bounds_counters());
    metrics->record_bounds("readiness", readiness_port->bounds_counters());
    metrics->record_bounds("metrics", metrics_port->bounds_counters());
    response.body = metrics->text(*frontend, *node, *link, *configuration, time.now());
    responder.send(std::move(response));
}

void site_daemon::parts::handle_caller(net::http_request request,
                                       const net::http_responder& responder)
{
    auto call = platform::decode_call(std::move(request));
    if (!call) {
        net::http_response response;
        response.status = 405;
        response.body = "{}";
        responder.send(std::move(response));
        return;
    }
    const auto received = time.now();
    const auto kind = call->kind;
    frontend->handle(
        std::move(*call), [this, responder, received, kind](const frontend::caller_answer& answer) {
            metrics->record_answer(kind, answer, base::milliseconds_between(received, time.now()));
            auto response = platform::encode_answer(answer);
            // Callers move to a VM that stays, or to one that reaches the store.
            response.close = leaving || !ready();
            responder.send(std::move(response));
        });
}

void site_daemon::parts::handle_peer(const net::http_request& request,
                                     const net::http_responder& responder)
{
    auto message = cluster::decode(request.body);
    if (request.path != peer_path || !message.has_value()) {
        net::http_response response;
        response.status = 400;
        responder.send(std::move(response));
        return;
    }
    node->receive(message.value(), [responder](const std::optional<cluster::message>& answer) {
        net::http_response response;
        response.content_type = "application/octet-stream";
        response.status = answer ? 200 : 400;
        if (answer) {
            auto bytes = cluster::encode(*answer);
            response.status = bytes.has_value() ? 200 : 500;
            response.body = bytes.has_value() ? std::move(bytes).value() : std::string{};
        }
        responder.send(std::move(response));
    });
}

void site_daemon::parts::wait_for_signal()
{
    signals = std::make_unique<asio::signal_set>(context, SIGTERM, SIGINT, SIGHUP);
    signals->async_wait([this](const std::error_code& failure, int number) {
        if (failure) {
            return;
        }
        if (number == SIGHUP) {
            reload("signal");
        } else if (!leaving) {
            leave();
        }
        wait_for_signal();
    });
}

void site_daemon::parts::leave()
{
    leaving = true;
    left_at = time.now();
    log.info("leaving", {{"open_requests", caller_port->open_requests()},
                         {"leads", node->local_leader() != nullptr}});
    node->leave([this] { lease_returned = true; });
    poll_left();
}

void site_daemon::parts::poll_left()
{
    const auto waited = time.now() - left_at;
    const auto grace =
        base::milliseconds{static_cast<std::int64_t>(settings.bounds.grace_s * 1'000.0)};
    const bool callers_done = waited >= leave_notice && caller_shutdown->may_end(time.now());
    if ((callers_done && lease_returned) || waited >= grace - exit_margin) {
        context.stop();
        return;
    }
    time.after(leave_poll, [this] { poll_left(); });
}

void site_daemon::parts::flush_later()
{
    time.after(flush_interval, [this] {
        base::flush_event_lines();
        report_traffic();
        follow_request_limits();
        flush_later();
    });
}

void site_daemon::parts::report_traffic()
{
    const auto now = time.now();
    if (node->local_leader() == nullptr || now - traffic_reported_at < traffic_interval) {
        return;
    }
    traffic_reported_at = now;
    for (const auto* const reported : {client.get(), worker_client.get()}) {
        for (const auto& [purpose, counted] : reported->account().by_purpose()) {
            log.info("traffic", {{"purpose", purpose},
                                 {"calls", counted.calls},
                                 {"sent_bytes", counted.sent_bytes},
                                 {"received_bytes", counted.received_bytes}});
        }
    }
    log.info("connections", {{"opened_to_workers", worker_client->connections_opened()},
                             {"opened_to_others", client->connections_opened()}});
}

void site_daemon::parts::poll_settings()
{
    time.after(settings_poll, [this] {
        reload({});
        poll_settings();
    });
}

void site_daemon::parts::reload(std::string_view why)
{
    auto text = settings::read_settings_file(settings_path);
    if (!text.has_value()) {
        log.error("settings_unreadable", {{"path", settings_path}});
        return;
    }
    if (text.value() == settings_text) {
        if (!why.empty()) {
            log.info("reloaded", {{"why", why}, {"changed", false}});
        }
        return;
    }
    settings_text = text.value();
    auto parsed = settings::parse_site_settings(settings_text);
    if (!parsed.has_value()) {
        log.error("settings_faulty",
                  {{"first_fault", base::describe(parsed.error().errors.front())}});
        return;
    }
    // Addresses of the VM itself stay: they are bound for the life of the process.
    settings.store = parsed.value().store;
    settings.bounds = parsed.value().bounds;
    log.info("reloaded", {{"why", why.empty() ? "file_changed" : why}, {"changed", true}});
}

} // namespace poplarstile::daemon
