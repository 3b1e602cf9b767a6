#include "control/cluster_node.hpp"

#include <utility>

/// The course of a `cluster_node`: hellos while no leader is heard, the terms in which this VM
/// leads, and requests for a newer configuration.
namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds hello_timeout{400};
constexpr base::milliseconds hello_interval{500};
constexpr base::milliseconds configuration_timeout{600};

} // namespace

cluster_node::cluster_node(cluster_node_ports ports, cluster_node_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}
{
    for (const auto& seed : options_.seeds) {
        if (seed != options_.self.address) {
            update_vm({{}, 0, seed, {}});
        }
    }
    leader_election_ports election;
    election.rows = ports_.rows;
    election.peers = ports_.peers;
    election.time = ports_.time;
    election.vms = [this] { return vms(); };
    election.on_elected = [this](const store::lease_record& lease, std::size_t part,
                                 store::row_version version) {
        start_leading(lease, part, version);
    };
    election.on_vm_seen = [this](const cluster::vm_entry& vm) { update_vm(vm); };
    election_ = std::make_unique<leader_election>(std::move(election), options_.election);
}

cluster_node::~cluster_node()
{
    *alive_ = false;
}

void cluster_node::start()
{
    send_hellos();
    election_->start();
    schedule_tick();
}

void cluster_node::send_hellos()
{
    // While no leader sends heartbeats, every known VM is asked for it.
    if (left_ || election_->leading()) {
        return;
    }
    const bool leader_silent =
        election_->leader_silence() > hello_interval || election_->epoch() == 0;
    if (leader_silent) {
        for (const auto& vm : vms()) {
            ports_.peers->ask(
                vm.address, cluster::hello{options_.self}, hello_timeout,
                [this, alive = alive_](const std::optional<cluster::message>& response) {
                    if (!*alive || !response) {
                        return;
                    }
                    if (const auto* const hello = std::get_if<cluster::hello_answer>(&*response)) {
                        update_vm(hello->from);
                        update_vm(hello->leader);
                        for (const auto& other : hello->vms) {
                            update_vm(other);
                        }
                        if (hello->configuration > ports_.configuration->version()) {
                            request_configuration(hello->from.address);
                        }
                    }
                });
        }
    }
    ports_.time->after(hello_interval, [this, alive = alive_] {
        if (*alive) {
            send_hellos();
        }
    });
}

void cluster_node::start_leading(const store::lease_record& lease, std::size_t part,
                                 store::row_version version)
{
    leader_ports ports;
    ports.rows = ports_.rows;
    ports.directory = ports_.directory;
    ports.orders = ports_.orders;
    ports.time = ports_.time;
    ports.catalog = [this] { return ports_.configuration->current(); };
    if (options_.leader.domain_drain_time > base::milliseconds{0}) {
        ports.drains = [this]() -> const catalog::domain_drains& {
            return ports_.configuration->drains();
        };
        ports.read_drains = [this](std::function<void(bool)> on_reply) {
            ports_.configuration->read_again(std::move(on_reply));
        };
    }
    ports.on_status = [this](const cluster::job_view& view) { publish_view(view); };
    ports.on_span = ports_.on_span;
    ports.on_lost = [this](const store::lease_record& found) { schedule_step_down(found); };
    leader_ = std::make_unique<leader>(std::move(ports), options_.leader, lease, part, version,
                                       election_->acquisition_sent());
    for (auto& [address, peer] : vms_) {
        peer.wants_snapshot = true;
        peer.unsent.clear();
        peer.sequence = 0;
        peer.vms_version = 0;
        peer.in_flight = false;
    }
    loads_at_ = {};
    vacant_ = false;
    yielding_ = false;
    views_complete_.reset();
    successor_.clear();
    elected_at_ = ports_.time->now();
    leader_->start();
    send_heartbeats(false);
}

void cluster_node::schedule_step_down(const store::lease_record& found)
{
    // Deferred because the leader that is destroyed here may be on the call stack.
    ports_.time->after(base::milliseconds{0}, [this, found, alive = alive_] {
        if (*alive) {
            leader_.reset();
            election_->step_down(found);
        }
    });
}

void cluster_node::schedule_tick()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            schedule_tick();
        }
    });
}

void cluster_node::tick()
{
    if (leader_) {
        if (leader_->active()) {
            update_local_views();
        }
        send_heartbeats(true);
        yield_to_larger_vm();
        forget_silent_vms();
    }
}

void cluster_node::update_local_views()
{
    const bool whole = leader_->all_parts_loaded();
    if (views_complete_ != whole) {
        ports_.views->replace_open_jobs(leader_->views(), whole);
        views_complete_ = whole;
        loads_at_ = {};
    }
    ports_.views->set_loads(current_loads(), whole);
}

void cluster_node::request_configuration(const std::string& address)
{
    if (configuration_requested_ || address.empty()) {
        return;
    }
    configuration_requested_ = true;
    const auto asked = ports_.time->now();
    ports_.peers->ask(
        address, cluster::configuration_request{ports_.configuration->version()},
        configuration_timeout,
        [this, asked, alive = alive_](const std::optional<cluster::message>& response) {
            if (!*alive) {
                return;
            }
            configuration_requested_ = false;
            const auto* const reply =
                response ? std::get_if<cluster::configuration_reply>(&*response) : nullptr;
            if (reply == nullptr) {
                return;
            }
            const auto elapsed =
                std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - asked);
            ports_.configuration->receive_from_peer(
                {reply->version, reply->document},
                elapsed + base::milliseconds{reply->confirmed_ms_ago});
        });
}

} // namespace poplarstile::control
