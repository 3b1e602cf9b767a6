#include "site_daemon.hpp"

#include "base/event_line.hpp"
#include "catalog/configuration_keeper.hpp"
#include "cluster/cluster_codec.hpp"
#include "control/cluster_node.hpp"
#include "door/door.hpp"
#include "net/http_server.hpp"
#include "net/reactor_client.hpp"
#include "platform/caller_port.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"
#include "site_metrics.hpp"
#include "store/store_link.hpp"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <fmt/format.h>

#include <csignal>
#include <ctime>

#include <algorithm>
#include <charconv>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr base::event_logger log{"daemon"};
constexpr base::milliseconds flush_interval{50};
constexpr base::milliseconds settings_poll{2'000};
constexpr base::milliseconds peer_connect_timeout{300};
constexpr base::milliseconds store_connect_timeout{400};
/// The balancer needs two questions, a second apart, to learn that this VM leaves.
constexpr base::milliseconds leave_notice{2'500};
/// Kept free at the end of the grace for the exit itself.
constexpr base::milliseconds exit_margin{1'200};
constexpr base::milliseconds leave_poll{100};
constexpr std::size_t most_final_views = 20'000;
constexpr base::milliseconds views_fresh_for{1'000};
constexpr base::milliseconds least_authority{9'000};
constexpr base::milliseconds unready_after{300};
constexpr const char* peer_path = "/cluster";

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

/// Monotonic time that counts while the VM is suspended.
base::time_point boot_now()
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return base::time_point{
        std::chrono::seconds{now.tv_sec} +
        std::chrono::duration_cast<base::microseconds>(std::chrono::nanoseconds{now.tv_nsec})};
}

base::timers make_timers(asio::io_context& context)
{
    base::timers time;
    time.now = boot_now;
    time.unix_ms = [] { return base::wall_clock_us() / 1'000; };
    time.after = [&context](base::milliseconds delay, std::function<void()> action) {
        if (delay <= base::milliseconds{0}) {
            asio::post(context, std::move(action));
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, action = std::move(action)](const std::error_code& failure) {
            if (!failure) {
                action();
            }
        });
    };
    return time;
}

std::uint32_t processor_millis(const settings::site_limit_settings& limits)
{
    constexpr double millis_per_core = 1'000.0;
    return static_cast<std::uint32_t>(limits.processor_share * limits.processors * millis_per_core);
}

/// Half of the descriptors, so that callers and new connections find some.
net::reactor_client_options client_options(const settings::site_limit_settings& limits)
{
    net::reactor_client_options options;
    options.max_idle_connections =
        std::min(options.max_idle_connections, static_cast<long>(limits.descriptors / 2));
    return options;
}

std::uint64_t make_born()
{
    return static_cast<std::uint64_t>(base::wall_clock_us());
}

} // namespace

struct site_daemon::parts {
    explicit parts(settings::site_settings site)
        : settings{std::move(site)}, time{make_timers(context)}
    {
        const auto& listen_at = settings.listen;
        const auto& reached_at =
            listen_at.peers_advertised.empty() ? listen_at.peers : listen_at.peers_advertised;
        self = {settings.vm.id, make_born(), reached_at, settings.vm.failure_domain,
                processor_millis(settings.limits)};
    }

    base::result<void> build();
    base::result<void> listen();
    base::result<std::unique_ptr<net::http_server>> serve(const std::string& at,
                                                          net::http_handler handler);
    void connect_store();
    void connect_peers();
    void handle_caller(net::http_request request, const net::http_responder& responder);
    void handle_peer(const net::http_request& request, const net::http_responder& responder);
    void handle_readiness(const net::http_request& request, const net::http_responder& responder);
    void handle_metrics(const net::http_responder& responder);
    void wait_for_signal();
    void leave();
    void poll_left();
    void flush_later();
    void poll_settings();
    void reload(std::string_view why);
    [[nodiscard]] bool ready() const;

    asio::io_context context{1};
    settings::site_settings settings;
    std::string settings_path;
    std::string settings_text;
    base::timers time;
    cluster::vm_entry self;
    std::unique_ptr<net::reactor_client> client;
    std::unique_ptr<store::store_link> link;
    store::row_store rows;
    fleet::worker_directory directory;
    fleet::worker_orders orders;
    catalog::configuration_source configuration_source;
    control::peer_port peers;
    std::unique_ptr<catalog::configuration_keeper> configuration;
    std::unique_ptr<door::job_views> views;
    std::unique_ptr<door::door> door;
    std::unique_ptr<control::cluster_node> node;
    std::unique_ptr<site_metrics> metrics;
    std::unique_ptr<net::http_server> caller_port;
    std::unique_ptr<net::http_server> readiness_port;
    std::unique_ptr<net::http_server> peer_port;
    std::unique_ptr<net::http_server> metrics_port;
    std::unique_ptr<asio::signal_set> signals;
    bool leaving = false;
    bool lease_returned = false;
    base::time_point left_at{};
};

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
                         {"life", made->self.born},
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
    log.info("stopped", {{"lease_returned", parts_->lease_returned}});
    base::flush_event_lines();
}

void site_daemon::parts::connect_store()
{
    store::link_ports ports;
    ports.time = &time;
    ports.direct = [this](const store::link_call& call, base::milliseconds timeout,
                          const store::link_handler& handler) {
        net::http_call made;
        made.method = call.method;
        made.url = "http://" + settings.store.address + call.target;
        made.headers = {{"Content-Type", "application/json"}};
        made.body = call.body;
        made.connect_timeout = std::min(store_connect_timeout, timeout);
        made.timeout = timeout;
        made.purpose = "store";
        client->send(std::move(made), [handler](net::http_reply reply) {
            handler({reply.outcome, reply.status, std::move(reply.body)});
        });
    };
    ports.through = [this](const std::string& helper, const store::link_call& call,
                           base::milliseconds timeout, const store::link_handler& handler) {
        const cluster::store_call carried{call.method, call.target, call.body,
                                          static_cast<std::uint32_t>(call.wait.count()),
                                          call.scope};
        peers.ask(
            helper, carried, timeout, [handler](const std::optional<cluster::message>& answer) {
                const auto* const made =
                    answer ? std::get_if<cluster::store_answer>(&*answer) : nullptr;
                if (made == nullptr) {
                    handler({net::delivery::lost, 0, {}});
                    return;
                }
                handler({static_cast<net::delivery>(made->delivery), made->status, made->body});
            });
    };
    ports.probe = [](std::string_view part) { return platform::make_probe(part); };
    ports.helpers = [this] { return node ? node->helpers() : std::vector<std::string>{}; };
    link = std::make_unique<store::store_link>(std::move(ports));
    rows = platform::make_row_store(*link);
    directory = platform::make_worker_directory(rows);
    configuration_source = platform::make_configuration_source(rows);
}

void site_daemon::parts::connect_peers()
{
    peers.ask = [this](const std::string& address, const cluster::message& sent,
                       base::milliseconds timeout,
                       const std::function<void(std::optional<cluster::message>)>& handler) {
        auto bytes = cluster::encode(sent);
        if (!bytes.has_value()) {
            log.error("message_not_sent", {{"detail", bytes.error().detail}});
            time.after(base::milliseconds{0}, [handler] { handler(std::nullopt); });
            return;
        }
        net::http_call call;
        call.method = "POST";
        call.url = "http://" + address + peer_path;
        call.headers = {{"Content-Type", "application/octet-stream"}};
        call.body = std::move(bytes).value();
        call.connect_timeout = std::min(peer_connect_timeout, timeout);
        call.timeout = timeout;
        call.purpose = "peers";
        client->send(std::move(call), [handler](const net::http_reply& reply) {
            if (!reply.ok()) {
                handler(std::nullopt);
                return;
            }
            auto decoded = cluster::decode(reply.body);
            if (!decoded.has_value()) {
                log.warning("answer_unreadable", {{"detail", decoded.error().detail}});
                handler(std::nullopt);
                return;
            }
            handler(std::move(decoded).value());
        });
    };
}

base::result<void> site_daemon::parts::build()
{
    BOOST_OUTCOME_TRY(made, net::reactor_client::create(context, client_options(settings.limits)));
    client = std::move(made);
    connect_peers();
    connect_store();
    orders = platform::make_worker_orders(*client);
    configuration = std::make_unique<catalog::configuration_keeper>(configuration_source, time);
    views = std::make_unique<door::job_views>(time, views_fresh_for, most_final_views);
    const auto& bounds = settings.bounds;

    door::door_options door_options;
    const store::part_map parts_of_store{settings.store.part, settings.store.parts};
    door_options.parts = parts_of_store;
    door_options.oldest_configuration =
        bounds.configuration_time + bounds.configuration_stretch - base::milliseconds{500};
    door = std::make_unique<door::door>(
        door::door_ports{&rows, &time, configuration.get(), views.get(),
                         [this](const store::row& stored) { node->tell_leader(stored); },
                         [this](const std::string& job) { node->tell_doubt(job); },
                         platform::decode_submission},
        door_options);

    control::cluster_node_options options;
    options.self = self;
    options.seeds = settings.seeds;
    options.leading.parts = parts_of_store;
    options.leading.longest_lease = bounds.longest_lease;
    options.leading.stop_time = bounds.stop_time;
    options.leading.worker_heartbeat = bounds.worker_heartbeat;
    options.leading.gang_wait = bounds.gang_wait;
    options.leading.status_retention =
        base::milliseconds{static_cast<std::int64_t>(bounds.status_retention_s * 1'000.0)};
    options.leading.authority = std::max(bounds.longest_lease, least_authority);
    options.standing.parts = parts_of_store;
    options.standing.self = self;
    control::cluster_node_ports ports;
    ports.rows = &rows;
    ports.directory = &directory;
    ports.orders = &orders;
    ports.peers = &peers;
    ports.time = &time;
    ports.configuration = configuration.get();
    ports.views = views.get();
    ports.on_span = [this](control::leader_span span, base::milliseconds took) {
        metrics->record_span(span, took);
    };
    ports.on_doubt = [this](const std::string& job) { door->hear_doubt(job); };
    ports.relay = [this](const cluster::store_call& call,
                         const std::function<void(cluster::store_answer)>& answer) {
        const auto wait = base::milliseconds{call.wait_ms};
        const auto kind = wait > base::milliseconds{0} ? store::call_kind::follow
                          : call.method == "GET"       ? store::call_kind::read
                                                       : store::call_kind::write;
        link->send_direct({kind, call.scope, call.method, call.target, call.body, wait},
                          [answer](store::link_reply reply) {
                              answer({static_cast<std::uint8_t>(reply.outcome), reply.status,
                                      std::move(reply.body)});
                          });
    };
    node = std::make_unique<control::cluster_node>(std::move(ports), std::move(options));
    metrics = std::make_unique<site_metrics>(settings.vm.id, settings.vm.failure_domain);
    return base::success();
}

base::result<std::unique_ptr<net::http_server>> site_daemon::parts::serve(const std::string& at,
                                                                          net::http_handler handler)
{
    const auto where = split(at);
    net::http_server_options options;
    options.address = where.address;
    options.port = where.port;
    options.context = &context;
    options.max_body_bytes = std::size_t{4} * 1024 * 1024;
    options.max_header_bytes = std::size_t{16} * 1024;
    return net::http_server::start(options, std::move(handler));
}

base::result<void> site_daemon::parts::listen()
{
    BOOST_OUTCOME_TRY(
        callers, serve(settings.listen.callers,
                       [this](net::http_request request, const net::http_responder& responder) {
                           handle_caller(std::move(request), responder);
                       }));
    caller_port = std::move(callers);
    BOOST_OUTCOME_TRY(
        readiness, serve(settings.listen.readiness, [this](const net::http_request& request,
                                                           const net::http_responder& responder) {
            handle_readiness(request, responder);
        }));
    readiness_port = std::move(readiness);
    BOOST_OUTCOME_TRY(peer_server,
                      serve(settings.listen.peers, [this](const net::http_request& request,
                                                          const net::http_responder& responder) {
                          handle_peer(request, responder);
                      }));
    peer_port = std::move(peer_server);
    BOOST_OUTCOME_TRY(metrics_server,
                      serve(settings.listen.metrics, [this](const net::http_request& /*request*/,
                                                            const net::http_responder& responder) {
                          handle_metrics(responder);
                      }));
    metrics_port = std::move(metrics_server);
    return base::success();
}

bool site_daemon::parts::ready() const
{
    return !leaving && door->may_decide() && door->store_away() < unready_after;
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
    response.body = metrics->text(*door, *node, *link, *configuration);
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
    door->handle(
        std::move(*call), [this, responder, received, kind](const door::caller_answer& answer) {
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
                         {"leads", node->leading() != nullptr}});
    node->leave([this] { lease_returned = true; });
    poll_left();
}

void site_daemon::parts::poll_left()
{
    const auto waited = time.now() - left_at;
    const auto grace =
        base::milliseconds{static_cast<std::int64_t>(settings.bounds.grace_s * 1'000.0)};
    const bool noticed = waited >= leave_notice;
    const bool idle = caller_port->open_requests() == 0 && lease_returned;
    if ((noticed && idle) || waited >= grace - exit_margin) {
        context.stop();
        return;
    }
    time.after(leave_poll, [this] { poll_left(); });
}

void site_daemon::parts::flush_later()
{
    time.after(flush_interval, [this] {
        base::flush_event_lines();
        flush_later();
    });
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
