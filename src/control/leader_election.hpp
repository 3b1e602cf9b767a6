#pragma once

#include "base/timers.hpp"
#include "cluster/cluster_message.hpp"
#include "store/lease_record.hpp"
#include "store/part_map.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::control
{

/// The port to the other VMs: sends a message to an address. The handler receives the reply, or
/// nothing when none arrived within the timeout.
struct peer_port {
    std::function<void(const std::string& address, const cluster::message& sent,
                       base::milliseconds timeout,
                       std::function<void(std::optional<cluster::message>)>)>
        ask{};
};

/// How much of a leader's work a VM can carry, in thousandths of a core: its CPU, or what its link
/// has bandwidth for if that is less.
[[nodiscard]] std::uint32_t leading_capacity(const cluster::vm_entry& vm);

/// Whether `one` tries before `other` when there is no leader. The VM that can carry more of the
/// work is preferred, since a leader's work grows with the number of workers while an API
/// frontend's does not; ties are broken by CPU, then by name.
[[nodiscard]] bool is_better_leader(const cluster::vm_entry& one, const cluster::vm_entry& other);

/// Settings of a `leader_election`.
struct leader_election_options {
    /// Each part has a lease row; the row of the first part that can be read decides who leads.
    store::part_map parts{};
    cluster::vm_entry self{};
    /// Time without a heartbeat after which the other VMs are asked whether they still receive
    /// them.
    base::milliseconds leader_timeout{1'000};
    /// A leader whose commits were not confirmed for this long is replaced by a VM that can reach
    /// the store.
    base::milliseconds unconfirmed_limit{2'500};
    /// A lease row that has not changed for this long is taken whatever the other VMs report.
    base::milliseconds stalled_lease_timeout{3'000};
    base::milliseconds ask_timeout{250};
};

/// What a `leader_election` depends on.
struct leader_election_ports {
    const store::row_store* rows = nullptr;
    const peer_port* peers = nullptr;
    const base::timers* time = nullptr;
    /// All known VMs except this one.
    std::function<std::vector<cluster::vm_entry>()> vms{};
    /// Called when this VM has written the lease row and leads from now on.
    std::function<void(const store::lease_record& lease, std::size_t part,
                       store::row_version version)>
        on_elected{};
    /// Called for every VM that replied or was listed in a reply; it may not be known yet.
    std::function<void(const cluster::vm_entry& vm)> on_vm_seen{};
};

/// Decides when this VM tries to become leader. A wrong decision is safe, since the lease row, its
/// epoch and the workers' fencing ensure that only one leader takes effect; this class only
/// prevents VMs from replacing a leader whose heartbeats the others still receive.
/// Load pattern: a dead, frozen or partitioned leader while work is waiting.
class leader_election
{
public:
    leader_election(leader_election_ports ports, leader_election_options options);
    ~leader_election();
    leader_election(const leader_election&) = delete;
    leader_election& operator=(const leader_election&) = delete;

    void start();

    /// Processes a leader's heartbeat; false when a newer leader is known.
    bool receive_heartbeat(const cluster::leader_heartbeat& heartbeat);

    /// Stops leading; `found` is the current content of the lease row.
    void step_down(const store::lease_record& found);

    /// Stops this VM from ever trying to lead again.
    void leave();

    [[nodiscard]] bool leading() const
    {
        return leading_;
    }
    [[nodiscard]] const cluster::vm_entry& leader() const
    {
        return leader_;
    }
    [[nodiscard]] std::uint64_t epoch() const
    {
        return epoch_;
    }
    /// When the call was sent that showed the lease row to be this VM's, which leads since.
    [[nodiscard]] base::time_point acquisition_sent() const
    {
        return acquisition_sent_;
    }
    /// Time since the leader's last heartbeat; zero while this VM leads.
    [[nodiscard]] base::milliseconds leader_silence() const;
    /// Number of times that a lease row was read and was none.
    [[nodiscard]] std::uint64_t unreadable_leases() const
    {
        return unreadable_leases_;
    }

private:
    /// Collects the other VMs' replies before the lease row is taken.
    struct election_round {
        store::lease_record record{};
        std::size_t part = 0;
        store::row_version version = 0;
        std::size_t asked = 0;
        std::size_t pending_replies = 0;
        std::size_t responding = 0;
        /// Number of VMs that replied and are better leaders than this one.
        std::size_t better_candidates = 0;
        bool leader_reachable = false;
        bool holder_restarted = false;
    };

    void handle_vacant_lease(const cluster::leader_heartbeat& heartbeat);
    void tick();
    void schedule_tick();
    [[nodiscard]] bool needs_leader() const;
    void read_lease(std::size_t part);
    void handle_lease_row(std::size_t part, base::time_point sent, const store::read_reply& reply);
    void query_peers(const std::shared_ptr<election_round>& round);
    void handle_hello_answer(election_round& round, const std::optional<cluster::message>& answer);
    void finish_round(const std::shared_ptr<election_round>& round);
    [[nodiscard]] bool may_take_lease(const election_round& round);
    void acquire_lease(std::size_t part, store::row_version version,
                       const store::lease_record& record);
    /// `sent` is when the call was sent whose reply shows the lease row to be this VM's.
    void become_leader(const store::lease_record& record, std::size_t part,
                       store::row_version version, base::time_point sent);
    /// True for a lease that this incarnation of this VM wrote.
    [[nodiscard]] bool is_own(const store::lease_record& record) const;
    [[nodiscard]] std::uint64_t next_epoch(std::uint64_t found) const;
    void retry_after(base::milliseconds delay);

    leader_election_ports ports_;
    leader_election_options options_;
    cluster::vm_entry leader_{};
    std::uint64_t epoch_ = 0;
    base::time_point last_heartbeat_at_{};
    base::time_point acquisition_sent_{};
    bool commits_confirmed_ = true;
    bool vacant_ = false;
    bool leading_ = false;
    bool left_ = false;
    bool attempt_in_progress_ = false;
    std::uint64_t unreadable_leases_ = 0;
    base::time_point next_attempt_at_{};
    /// The part and version of the lease row read last, and when that version was first seen.
    std::size_t row_part_ = 0;
    store::row_version row_version_ = 0;
    base::time_point row_unchanged_since_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::control
