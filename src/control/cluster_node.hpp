#pragma once

#include "base/timers.hpp"
#include "catalog/configuration_cache.hpp"
#include "cluster/cluster_message.hpp"
#include "cluster/vm_list.hpp"
#include "control/leader.hpp"
#include "control/leader_election.hpp"
#include "frontend/job_views.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::control
{

/// Settings of a `cluster_node`.
struct cluster_node_options {
    cluster::vm_entry self{};
    /// Peer addresses of VMs that may exist.
    std::vector<std::string> seeds{};
    leader_options leader{};
    leader_election_options election{};
};

/// What a `cluster_node` depends on.
struct cluster_node_ports {
    const store::row_store* rows = nullptr;
    const fleet::worker_directory* directory = nullptr;
    const fleet::worker_orders* orders = nullptr;
    const peer_port* peers = nullptr;
    const base::timers* time = nullptr;
    catalog::configuration_cache* configuration = nullptr;
    frontend::job_views* views = nullptr;
    /// Called for a submission at another VM whose outcome is not known.
    std::function<void(const std::string& job)> on_uncertain_submission{};
    /// As in `leader_ports`; may be empty.
    std::function<void(leader_span span, base::milliseconds duration)> on_span{};
    /// Makes a store call for another VM over this VM's own connection only, never through a relay.
    std::function<void(const cluster::store_call&, std::function<void(cluster::store_answer)>)>
        relay{};
};

/// This VM as a member of the cluster: tracks the other VMs, receives or sends the leader's
/// heartbeats, runs the leader when elected, forwards configurations and relays store calls.
class cluster_node
{
public:
    cluster_node(cluster_node_ports ports, cluster_node_options options);
    ~cluster_node();
    cluster_node(const cluster_node&) = delete;
    cluster_node& operator=(const cluster_node&) = delete;

    void start();

    /// Handles a message of another VM. `answer` receives the reply, or nothing when the message
    /// expects none.
    void receive(const cluster::message& message,
                 std::function<void(std::optional<cluster::message>)> answer);

    /// Sends the leader a row that this VM's API frontend has stored, so that it need not wait for
    /// the store's feed.
    void report_stored_row(const store::row& stored);

    /// Tells all VMs of a submission at this VM whose outcome is not known.
    void report_uncertain_submission(const std::string& job);

    /// Releases the lease if this VM holds it and stops taking part in elections; `on_done` is
    /// called once.
    void leave(std::function<void()> on_done);

    /// Peer addresses of VMs that replied recently, the best ones to relay a store call first.
    [[nodiscard]] std::vector<std::string> relay_addresses() const;

    [[nodiscard]] const leader* local_leader() const
    {
        return leader_.get();
    }
    [[nodiscard]] const leader_election& election() const
    {
        return *election_;
    }
    [[nodiscard]] std::size_t known_vms() const
    {
        return vms_.size();
    }

private:
    /// Another VM and the state of the heartbeats to it.
    struct peer_state {
        cluster::vm_entry entry{};
        base::time_point answered_at{};
        /// When a heartbeat of the leader listed it last.
        base::time_point listed_at{};
        base::time_point heartbeat_at{};
        bool in_flight = false;
        bool wants_snapshot = true;
        /// It has reported that it is shutting down.
        bool leaving = false;
        std::uint64_t sequence = 0;
        /// Version that it has confirmed of this leader's list of VMs.
        std::uint64_t vms_version = 0;
        std::map<std::string, cluster::job_view> unsent{};
    };

    void update_vm(const cluster::vm_entry& vm);
    /// Forgets the VMs that the leader has not listed for long; only called when it is heard.
    void forget_unlisted_vms();
    /// Brings the list of VMs that heartbeats send up to date.
    void update_listed_vms();
    /// The loads of the queues, as they were a short time ago.
    [[nodiscard]] const std::vector<cluster::queue_load>& current_loads();
    /// Removes the shortages from the loads while a VM is silent: it may hold submissions whose
    /// callers repeat them elsewhere, and no VM can tell that those are new.
    void withhold_shortages(base::time_point now);
    /// Forgets the VMs that have not replied to this leader for long.
    void forget_silent_vms();
    void send_hellos();
    void start_leading(const store::lease_record& lease, std::size_t part,
                       store::row_version version);
    void schedule_step_down(const store::lease_record& found);
    void publish_view(const cluster::job_view& view);
    void schedule_heartbeats();
    void send_heartbeats(bool due_only);
    void send_heartbeat(const std::string& address, peer_state& to);
    void handle_heartbeat_reply(const std::string& address,
                                std::map<std::string, cluster::job_view> sent_views, bool snapshot,
                                const std::optional<cluster::message>& answer);
    void tick();
    /// Updates this VM's job views from the leader that runs on it.
    void update_local_views();
    void schedule_tick();
    void request_configuration(const std::string& address);
    [[nodiscard]] cluster::leader_heartbeat make_heartbeat(peer_state& to);
    [[nodiscard]] std::vector<cluster::vm_entry> vms() const;
    [[nodiscard]] cluster::hello_answer make_hello_answer() const;

    /// The VM that should lead next, among those that reply; null when there is none.
    [[nodiscard]] const peer_state* choose_successor() const;
    /// Hands the lease over to a VM with much more CPU, or a much faster link, than this one.
    void yield_to_larger_vm();
    void finish_yield();
    /// Tells all VMs that the lease is vacant and which VM may take it first.
    void announce_vacancy();
    [[nodiscard]] std::uint32_t configuration_ms_ago() const;
    /// Acknowledges a message that expects no data.
    [[nodiscard]] cluster::message make_acknowledgement() const;
    cluster::message handle_heartbeat(const cluster::leader_heartbeat& received);

    cluster_node_ports ports_;
    cluster_node_options options_;
    /// By peer address.
    std::map<std::string, peer_state> vms_{};
    /// Whether `vms_` has changed since `listed_vms_` was set.
    bool vms_changed_ = true;
    cluster::listed_vms listed_vms_{};
    cluster::received_vms received_vms_{};
    std::vector<cluster::queue_load> loads_{};
    base::time_point loads_at_{};
    base::time_point shortages_withheld_until_{};
    std::unique_ptr<leader_election> election_;
    std::unique_ptr<leader> leader_;
    bool vacant_ = false;
    std::string successor_{};
    bool left_ = false;
    bool yielding_ = false;
    /// Whether the leader had loaded all parts when all its open jobs were last passed to the
    /// views; empty before the first time.
    std::optional<bool> views_complete_{};
    base::time_point elected_at_{};
    bool heartbeat_scheduled_ = false;
    bool configuration_requested_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::control
