#pragma once

#include "catalog/configuration_cache.hpp"
#include "cluster/cluster_codec.hpp"
#include "control/cluster_node.hpp"
#include "frontend/api_frontend.hpp"
#include "net/http_server.hpp"
#include "net/port_bounds.hpp"
#include "net/reactor_client.hpp"
#include "net/server_shutdown.hpp"
#include "site_daemon.hpp"
#include "site_metrics.hpp"
#include "store/store_link.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::daemon
{

/// Where the VMs hear each other.
inline constexpr const char* peer_path = "/cluster";

/// What a VM consists of. `build` connects the parts, `listen` opens the ports; the rest handles
/// what arrives.
struct site_daemon::parts {
    explicit parts(settings::site_settings site);

    base::result<void> build();
    base::result<void> listen();
    base::result<std::unique_ptr<net::http_server>> serve(const std::string& at, net::port_use use,
                                                          net::http_handler handler);
    /// Applies the body limit of the operator's configuration.
    void follow_request_limits();
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
    /// Logs the leader's calls by purpose every few seconds.
    void report_traffic();
    void poll_settings();
    void reload(std::string_view why);
    [[nodiscard]] bool ready() const;

    asio::io_context context{1};
    settings::site_settings settings;
    std::string settings_path;
    std::string settings_text;
    base::timers time;
    cluster::vm_entry self;
    /// For the store and the other VMs.
    std::unique_ptr<net::reactor_client> client;
    /// For the workers, of which there are many with a few connections each.
    std::unique_ptr<net::reactor_client> worker_client;
    std::unique_ptr<store::store_link> link;
    store::row_store rows;
    fleet::worker_directory directory;
    fleet::worker_orders orders;
    catalog::configuration_source configuration_source;
    control::peer_port peers;
    std::unique_ptr<catalog::configuration_cache> configuration;
    std::unique_ptr<frontend::job_views> views;
    std::unique_ptr<frontend::api_frontend> frontend;
    std::unique_ptr<control::cluster_node> node;
    std::unique_ptr<site_metrics> metrics;
    std::unique_ptr<net::http_server> caller_port;
    std::optional<net::server_shutdown> caller_shutdown;
    std::unique_ptr<net::http_server> readiness_port;
    std::unique_ptr<net::http_server> peer_port;
    std::unique_ptr<net::http_server> metrics_port;
    std::unique_ptr<asio::signal_set> signals;
    bool leaving = false;
    bool lease_returned = false;
    base::time_point left_at{};
    base::time_point traffic_reported_at{};
};

} // namespace poplarstile::daemon
