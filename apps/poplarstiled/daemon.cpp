#include "daemon.hpp"

#include "base/log.hpp"
#include "peer/peer_codec.hpp"

#include <fmt/format.h>

#include <random>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::size_t event_capacity = 20'000;
/// Time in which the peers and the balancer learn that this VM leaves, before it may end.
constexpr base::milliseconds leave_notice{1'500};
constexpr base::logger log{"daemon"};

std::string make_run_id()
{
    std::random_device entropy;
    return fmt::format("{:08x}", entropy());
}

} // namespace

vm_daemon::vm_daemon(settings::vm_settings settings)
{
    node_.settings = std::move(settings);
    node_.run_id = make_run_id();
}

base::result<std::unique_ptr<vm_daemon>> vm_daemon::start(settings::vm_settings settings)
{
    std::unique_ptr<vm_daemon> started{new vm_daemon{std::move(settings)}};
    BOOST_OUTCOME_TRYV(started->start_parts());
    return started;
}

base::result<void> vm_daemon::start_parts()
{
    const auto& settings = node_.settings;
    BOOST_OUTCOME_TRY(log_of_events, events::event_log::create(settings.vm.id, event_capacity));
    node_.events = std::move(log_of_events);
    node_.metrics = std::make_unique<daemon_metrics>(settings.vm.id, settings.vm.failure_domain);
    net::http_client_options client_options;
    client_options.proxy = settings.outbound_proxy;
    client_options.max_connections_per_target = settings.limits.max_connections_per_worker;
    client_options.on_bytes = [this](std::string_view purpose, std::size_t bytes) {
        if (purpose != net::http_call{}.purpose) {
            node_.metrics->record_control_bytes(purpose, bytes);
        }
    };
    BOOST_OUTCOME_TRY(client, net::http_client::start(client_options));
    node_.client = std::move(client);
    node_.table = std::make_unique<table::table_client>(*node_.client, settings.platform.address,
                                                        settings.platform.read_timeout,
                                                        settings.platform.write_timeout);
    node_.workers = std::make_unique<workers::worker_client>(*node_.client);
    link_ = std::make_unique<peer_link>(node_);
    dispatch_ = std::make_unique<dispatch_duty>(node_);
    scheduler_ = std::make_unique<scheduler_duty>(node_);
    rules_ = std::make_unique<rules_duty>(node_, *link_);
    rules_gateway_ = std::make_unique<rules_gateway>(node_, *rules_);
    jobs_ = std::make_unique<job_gateway>(node_, *scheduler_, *link_);
    BOOST_OUTCOME_TRY(peers, peer_duty::create(node_, *link_));
    peers_ = std::move(peers);
    callers_ = std::make_unique<caller_gateway>(node_, *dispatch_, *jobs_);
    operators_ = std::make_unique<operator_gateway>(
        node_, *rules_gateway_, *jobs_, [this] { leave(); },
        [this](daemon_metrics& metrics) { callers_->record_bounds(metrics); });

    dispatch_->start();
    scheduler_->start();
    peers_->start(
        [this](const std::string& address, std::uint64_t /*version*/) {
            rules_->ask_peer(address);
        },
        [this](std::size_t live) { dispatch_->post(dispatch::sharing_vms_changed{live}); },
        [this](const std::string& vm) { scheduler_->vm_gone(vm); });
    rules_->start([this](const std::shared_ptr<const rules::ruleset>& rules) {
        dispatch_->post(dispatch::rules_changed{rules});
        scheduler_->rules_changed(rules);
        peers_->rules_in_force(rules->version);
    });
    BOOST_OUTCOME_TRYV(start_peer_port());
    BOOST_OUTCOME_TRYV(callers_->start());
    BOOST_OUTCOME_TRYV(operators_->start());
    log.info("Started in {}.", settings.vm.failure_domain);
    node_.note("daemon", "vm.started", "vm/" + settings.vm.id, "", node_.run_id);
    return base::success();
}

base::result<void> vm_daemon::start_peer_port()
{
    net::http_server_options options;
    options.address = node_.settings.listen.address;
    options.port = node_.settings.listen.peer_port;
    BOOST_OUTCOME_TRY(
        server, net::http_server::start(options, [this](const net::http_request& request,
                                                        const net::http_responder& responder) {
            handle_peer(request, responder);
        }));
    peer_port_ = std::move(server);
    return base::success();
}

void vm_daemon::handle_peer(const net::http_request& request, const net::http_responder& responder)
{
    auto message = peer::decode(request.body);
    if (request.path != peer_path || !message.has_value()) {
        responder.send(
            {.status = 400, .body = message.has_value() ? "" : base::describe(message.error())});
        return;
    }
    auto& body = message.value();
    if (const auto* const call = std::get_if<peer::scheduler_forward>(&body)) {
        responder.send(peer_response(jobs_->answer(*call)));
    } else if (const auto* const asked = std::get_if<peer::rules_request>(&body)) {
        rules_->answer_peer(asked->after_version, responder);
    } else {
        peers_->receive(std::move(body), responder);
    }
}

void vm_daemon::leave()
{
    if (node_.leaving.exchange(true)) {
        return;
    }
    left_at_ = base::now();
    log.info("Leaving: no new work is taken.");
    node_.note("daemon", "vm.leaving", "vm/" + node_.settings.vm.id, "", "");
    peers_->leave();
    scheduler_->leave();
}

bool vm_daemon::drained()
{
    if (!node_.leaving) {
        return false;
    }
    const auto waited = base::now() - left_at_;
    if (waited >= node_.settings.times.drain_timeout) {
        return true;
    }
    if (waited < leave_notice) {
        return false;
    }
    const auto requests = node_.dispatch.get();
    const bool callers_done = callers_->may_end();
    return requests->in_flight == 0 && requests->queued == 0 && callers_done;
}

vm_daemon::~vm_daemon()
{
    if (callers_) {
        callers_->log_open();
    }
    // Its metrics read the callers' port.
    operators_.reset();
    callers_.reset();
    peer_port_.reset();
    if (rules_) {
        rules_->stop();
    }
    if (peers_) {
        peers_->stop();
    }
    if (scheduler_) {
        scheduler_->stop();
    }
    if (dispatch_) {
        dispatch_->stop();
    }
    node_.client.reset();
}

} // namespace poplarstile::daemon
