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

/// The port to the other VMs: sends a message to an address; the handler gets the answer, or
/// nothing when there was none in time.
struct peer_port {
    std::function<void(const std::string& address, const cluster::message& sent,
                       base::milliseconds timeout,
                       std::function<void(std::optional<cluster::message>)>)>
        ask{};
};

/// Which of two VMs tries first when a leader is missing: the one with more processor, since a
/// leader's work grows with the number of workers while an API frontend's does not.
[[nodiscard]] bool better_leader(const cluster::vm_entry& one, const cluster::vm_entry& other);

struct leader_election_options {
    /// Each part has a lease row; the first that answers decides who leads.
    store::part_map parts{};
    cluster::vm_entry self{};
    /// Silence of the leader after which the others are asked whether they hear it.
    base::milliseconds leader_silence{1'000};
    /// A leader whose commits are not answered for this long is replaced by a VM that is served.
    base::milliseconds unconfirmed_limit{2'500};
    /// An unchanged lease row is taken after this time whatever the others say.
    base::milliseconds stalled_row{3'000};
    base::milliseconds ask_timeout{250};
};

struct leader_election_ports {
    const store::row_store* rows = nullptr;
    const peer_port* peers = nullptr;
    const base::timers* time = nullptr;
    /// All VMs known, this one not among them.
    std::function<std::vector<cluster::vm_entry>()> vms{};
    /// This VM has written the lease row and leads from now on.
    std::function<void(const store::lease_record& lease, std::size_t part,
                       store::row_version version)>
        on_elected{};
    /// A VM has answered that may not be known yet.
    std::function<void(const cluster::vm_entry& vm)> on_vm{};
};

/// Decides when this VM tries to lead. Being wrong is safe: the lease row, its epoch and the
/// workers' fencing decide; this only keeps VMs from deposing a leader that the others still hear.
/// Load pattern: a dead, frozen or cut-off leader while work waits.
class leader_election
{
public:
    leader_election(leader_election_ports ports, leader_election_options options);
    ~leader_election();
    leader_election(const leader_election&) = delete;
    leader_election& operator=(const leader_election&) = delete;

    void start();

    /// A beat of a leader; false when a newer one is known.
    bool hear(const cluster::leader_heartbeat& beat);

    /// This VM no longer leads; `found` is the lease row as it is.
    void step_down(const store::lease_record& found);

    /// Never tries to lead again.
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
    /// Time since the leader was last heard; zero while this VM leads.
    [[nodiscard]] base::milliseconds silence() const;

private:
    /// One look round before the lease row is taken.
    struct canvass {
        store::lease_record record{};
        std::size_t part = 0;
        store::row_version version = 0;
        std::size_t asked = 0;
        std::size_t waiting = 0;
        std::size_t alive = 0;
        /// VMs that answered and that are better leaders than this one.
        std::size_t before_self = 0;
        bool leader_heard = false;
        bool holder_reborn = false;
    };

    void succeed(const cluster::leader_heartbeat& beat);
    void tick();
    void tick_later();
    [[nodiscard]] bool wants_to_lead() const;
    void read_lease(std::size_t part);
    void take_lease_row(std::size_t part, const store::read_reply& reply);
    void ask_others(const std::shared_ptr<canvass>& round);
    void take_answer(canvass& round, const std::optional<cluster::message>& answer);
    void conclude(const std::shared_ptr<canvass>& round);
    [[nodiscard]] bool may_take(const canvass& round);
    void take_lease(std::size_t part, store::row_version version,
                    const store::lease_record& record);
    void elected(const store::lease_record& record, std::size_t part, store::row_version version);
    /// True for a lease that this life of this VM wrote.
    [[nodiscard]] bool is_own(const store::lease_record& record) const;
    [[nodiscard]] std::uint64_t next_epoch(std::uint64_t found) const;
    void try_again(base::milliseconds delay);

    leader_election_ports ports_;
    leader_election_options options_;
    cluster::vm_entry leader_{};
    std::uint64_t epoch_ = 0;
    base::time_point heard_at_{};
    bool confirmed_lately_ = true;
    bool vacant_ = false;
    bool leading_ = false;
    bool left_ = false;
    bool busy_ = false;
    base::time_point not_before_{};
    /// The lease row that was read last, since it was first seen at its version.
    std::size_t row_part_ = 0;
    store::row_version row_version_ = 0;
    base::time_point row_seen_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace poplarstile::control
