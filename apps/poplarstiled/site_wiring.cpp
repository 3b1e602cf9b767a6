#include "base/event_line.hpp"
#include "platform/caller_port.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"
#include "site_parts.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <ctime>

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

/// How the parts of a VM are connected: the ports of the libraries to the store, the workers and
/// the other VMs.
namespace poplarstile::daemon
{
namespace
{

constexpr base::event_logger log{"daemon"};
constexpr base::milliseconds peer_connect_timeout{300};
constexpr std::size_t most_final_views = 20'000;
constexpr base::milliseconds views_fresh_for{1'000};
constexpr base::milliseconds least_authority{9'000};

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

std::uint32_t link_kbit(const settings::site_limit_settings& limits)
{
    constexpr double kbit_per_mbit = 1'000.0;
    return static_cast<std::uint32_t>(limits.link_mbit * kbit_per_mbit);
}

/// An eighth of the descriptors, since the other VMs and the store need few connections.
net::reactor_client_options client_options(const settings::site_limit_settings& limits)
{
    net::reactor_client_options options;
    options.max_idle_connections =
        std::min(options.max_idle_connections, static_cast<long>(limits.descriptors / 8));
    return options;
}

/// Half of the descriptors, so that callers and new connections find some. One connection to a
/// worker waits for the end of a run, the others are for orders.
net::reactor_client_options worker_client_options(const settings::site_limit_settings& limits)
{
    net::reactor_client_options options;
    options.max_idle_connections = static_cast<long>(limits.descriptors / 2);
    options.max_connections_per_target = 4;
    return options;
}

std::string_view purpose_of(const cluster::message& sent)
{
    static constexpr std::array<std::string_view, std::variant_size_v<cluster::message>> names{
        "heartbeat",     "heartbeat_reply", "hello",       "hello_answer", "configuration",
        "configuration", "store_relay",     "store_relay", "stored_row",   "uncertain_submission"};
    return names.at(sent.index());
}

std::uint64_t make_born()
{
    return static_cast<std::uint64_t>(base::wall_clock_us());
}

} // namespace

site_daemon::parts::parts(settings::site_settings site)
    : settings{std::move(site)}, time{make_timers(context)}
{
    const auto& listen_at = settings.listen;
    const auto& reached_at =
        listen_at.peers_advertised.empty() ? listen_at.peers : listen_at.peers_advertised;
    self = {settings.vm.id,
            make_born(),
            reached_at,
            settings.vm.failure_domain,
            processor_millis(settings.limits),
            link_kbit(settings.limits)};
}

void site_daemon::parts::connect_store()
{
    store::link_ports ports;
    ports.time = &time;
    ports.direct = [this](const store::link_call& call, base::milliseconds timeout,
                          const store::link_handler& handler) {
        auto made = platform::make_store_exchange(settings.store.address, call, timeout);
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
    ports.helpers = [this] { return node ? node->relay_addresses() : std::vector<std::string>{}; };
    link = std::make_unique<store::store_link>(std::move(ports));
    rows = platform::make_row_store(*link);
    directory = platform::make_worker_directory(rows);
    const bool domains_drain = settings.bounds.domain_drain_time > base::milliseconds{0};
    configuration_source = platform::make_configuration_source(
        rows, domains_drain ? platform::operator_rows::configuration_and_drains
                            : platform::operator_rows::configuration);
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
        call.once = cluster::carries_write(sent);
        call.purpose = purpose_of(sent);
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
    BOOST_OUTCOME_TRY(for_workers,
                      net::reactor_client::create(context, worker_client_options(settings.limits)));
    worker_client = std::move(for_workers);
    connect_peers();
    connect_store();
    orders = platform::make_worker_orders(*worker_client);
    configuration = std::make_unique<catalog::configuration_cache>(configuration_source, time);
    views = std::make_unique<frontend::job_views>(time, views_fresh_for, most_final_views);
    const auto& bounds = settings.bounds;

    frontend::frontend_options frontend_options;
    const store::part_map parts_of_store{settings.store.part, settings.store.parts};
    frontend_options.parts = parts_of_store;
    frontend_options.max_row_bytes = settings.store.row_bytes;
    frontend_options.oldest_configuration =
        bounds.configuration_time + bounds.configuration_stretch - base::milliseconds{500};
    frontend_options.refuse_hopeless_jobs =
        settings::is_enabled(settings.scheduling.refuse_hopeless_jobs, bounds);
    frontend = std::make_unique<frontend::api_frontend>(
        frontend::frontend_ports{
            &rows, &time, configuration.get(), views.get(),
            [this](const store::row& stored) { node->report_stored_row(stored); },
            [this](const std::string& job) { node->report_uncertain_submission(job); },
            platform::decode_submission},
        frontend_options);

    control::cluster_node_options options;
    options.self = self;
    options.seeds = settings.seeds;
    options.leader.parts = parts_of_store;
    options.leader.link_kbit = self.link_kbit;
    options.leader.max_row_bytes = settings.store.row_bytes;
    options.leader.longest_lease = bounds.longest_lease;
    options.leader.stop_time = bounds.stop_time;
    options.leader.worker_heartbeat = bounds.worker_heartbeat;
    options.leader.evict_from_leaving_workers =
        settings::is_enabled(settings.scheduling.evict_from_leaving_workers, bounds);
    options.leader.gang_wait = bounds.gang_wait;
    options.leader.domain_drain_time = bounds.domain_drain_time;
    options.leader.status_retention =
        base::milliseconds{static_cast<std::int64_t>(bounds.status_retention_s * 1'000.0)};
    options.leader.lease_horizon = std::max(bounds.longest_lease, least_authority);
    options.leader.learned_run_times =
        settings::is_enabled(settings.scheduling.learned_run_times, bounds);
    options.leader.refuse_hopeless_jobs =
        settings::is_enabled(settings.scheduling.refuse_hopeless_jobs, bounds);
    options.election.parts = parts_of_store;
    options.election.self = self;
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
    ports.on_uncertain_submission = [this](const std::string& job) {
        frontend->mark_uncertain(job);
    };
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

} // namespace poplarstile::daemon
