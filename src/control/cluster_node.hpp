#pragma once

#include "base/timers.hpp"
#include "catalog/configuration_cache.hpp"
#include "cluster/cluster_message.hpp"
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

struct cluster_node_options {
    cluster::vm_entry self{};
    /// Peer addresses of VMs that may exist.
    std::vector<std::string> seeds{};
    leader_options leader{};
    leader_election_options election{};
};

struct cluster_node_ports {
    const store::row_store* rows = nullptr;
    const fleet::worker_directory* directory = nullptr;
    const fleet::worker_orders* orders = nullptr;
    const peer_port* peers = nullptr;
    const base::timers* time = nullptr;
    catalog::configuration_cache* configuration = nullptr;
    frontend::job_views* views = nullptr;
    /// Told of a submission at another VM whose effect is not known.
    std::function<void(const std::string& job)> on_uncertain_submission{};
    /// As in `leader_ports`; may be empty.
    std::function<void(leader_span span, base::milliseconds took)> on_span{};
    /// Makes a call to the store for another VM, on this VM's own way only.
    std::function<void(const cluster::store_call&, std::function<void(cluster::store_answer)>)>
        relay{};
};

/// One VM among the others: knows them, hears or sends the leader's beats, leads when elected,
/// passes configurations and calls to the store on.
class cluster_node
{
public:
    cluster_node(cluster_node_ports ports, cluster_node_options options);
    ~cluster_node();
    cluster_node(const cluster_node&) = delete;
    cluster_node& operator=(const cluster_node&) = delete;

    void start();

    /// Answers a message of another VM; nothing where none is due.
    void receive(const cluster::message& message,
                 std::function<void(std::optional<cluster::message>)> answer);

    /// A row that an API frontend here has stored: the leader need not wait for the store's feed.
    void report_stored_row(const store::row& stored);

    /// A submission here whose effect is not known.
    void report_uncertain_submission(const std::string& job);

    /// Hands the lease back if it is held and takes part no longer; `on_done` is told once.
    void leave(std::function<void()> on_done);

    /// VMs that have answered lately, best ones for a call to the store first.
    [[nodiscard]] std::vector<std::string> relay_addresses() const;

    [[nodiscard]] const leader* local_leader() const
    {
        return leader_.get();
    }
    [[nodiscard]] const leader_election& election() const
    {
        return *leadership_;
    }
    [[nodiscard]] std::size_t known_vms() const
    {
        return vms_.size();
    }

private:
    /// Another VM, and the beats to it.
    struct neighbour {
        cluster::vm_entry entry{};
        base::time_point answered_at{};
        base::time_point beat_at{};
        bool under_way = false;
        bool wants_snapshot = true;
        /// It has said that it shuts down.
        bool leaving = false;
        std::uint64_t sequence = 0;
        std::map<std::string, cluster::job_view> unsent{};
    };

    void know(const cluster::vm_entry& vm);
    void greet_seeds();
    void elected(const store::lease_record& lease, std::size_t part, store::row_version version);
    void lost(const store::lease_record& found);
    void spread(const cluster::job_view& view);
    void beat_soon();
    void beat_all(bool due_only);
    void beat(const std::string& address, neighbour& to);
    void take_beat_answer(const std::string& address,
                          std::map<std::string, cluster::job_view> carried, bool snapshot,
                          const std::optional<cluster::message>& answer);
    void tick();
    /// Keeps this VM's views as its own leader knows them.
    void show_own_views();
    void tick_later();
    void ask_configuration(const std::string& address);
    [[nodiscard]] cluster::leader_heartbeat make_beat(neighbour& to);
    [[nodiscard]] std::vector<cluster::vm_entry> vms() const;
    [[nodiscard]] cluster::hello_answer answer_hello() const;

    /// The VM that should lead next, of those that answer; null when there is none.
    [[nodiscard]] const neighbour* choose_successor() const;
    /// Hands the lease to a VM with much more processor than this one.
    void yield_to_stronger();
    void finish_yield();
    /// Tells all VMs that the lease is free, and who takes it first.
    void announce_vacancy();
    [[nodiscard]] std::uint32_t configuration_ms_ago() const;
    /// Acknowledges a message that asks nothing.
    [[nodiscard]] cluster::message plain_answer() const;
    cluster::message answer_beat(const cluster::leader_heartbeat& beat);

    cluster_node_ports ports_;
    cluster_node_options options_;
    /// By peer address.
    std::map<std::string, neighbour> vms_{};
    std::unique_ptr<leader_election> leadership_;
    std::unique_ptr<leader> leader_;
    bool vacant_ = false;
    std::string successor_{};
    bool left_ = false;
    bool yielding_ = false;
    /// Whether the leader knew all parts when its open jobs were last handed to the views whole.
    std::optional<bool> views_taken_whole_{};
    base::time_point elected_at_{};
    bool beat_scheduled_ = false;
    bool asking_configuration_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::control
