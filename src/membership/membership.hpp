#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "peer/peer_message.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Which VMs are there, alive, suspected, leaving or dead; decided from messages and time alone.
///
/// Sources: Das, Gupta, Motivala: SWIM, DSN 2002 (probing, suspicion, refutation by incarnation);
/// Dadgar, Phillips, Currey: Lifeguard, DSN-W 2018 (own health, suspicion that confirmations
/// shorten, telling a suspect of the suspicion).
///
/// Inside a failure domain every VM probes every other in turn. Between failure domains only the
/// delegates, the first live VMs of a domain by id, probe each other. What a VM sends per second
/// therefore does not depend on the number of VMs.
namespace poplarstile::membership
{

using base::milliseconds;
using base::time_point;

/// Times and limits. `create` refuses what can't work.
struct config {
    /// Between two probes of VMs of the own failure domain.
    milliseconds probe_interval{600};
    /// Until a probe is tried through others.
    milliseconds probe_timeout{200};
    /// Between two probes of other failure domains, by delegates.
    milliseconds delegate_interval{2000};
    /// Between two tries to reach a dead VM or one that only the VM list names.
    milliseconds dead_probe_interval{2000};
    /// The shortest suspicion in a domain of ten VMs or fewer; grows with the logarithm above that.
    milliseconds suspicion_min{1500};
    /// Longest suspicion as a multiple of the shortest.
    unsigned suspicion_max_factor = 3;
    /// How long a dead VM is remembered, so that a lagging list can't bring it back.
    milliseconds tombstone_keep{600'000};
    /// A longer gap between two events means that this process was paused.
    milliseconds pause_threshold{1500};
    /// Delegates of each failure domain.
    std::size_t delegates = 2;
    /// VMs asked to probe in our place.
    std::size_t indirect_probes = 2;
    /// VMs to which the news of a leaving VM goes at once.
    std::size_t leave_fanout = 3;
    /// Member updates in one message, the sender's own included.
    std::size_t max_updates = 8;
    /// Known facts that are repeated in every message besides news.
    std::size_t refresh_updates = 1;
    /// Members in one page for a VM that joins; it asks for a page a probe interval.
    std::size_t page_members = 48;
    /// Lease views in one message.
    std::size_t max_leases = 3;
    /// News is sent this many times the logarithm of the number of VMs.
    unsigned retransmit_factor = 3;
    /// Greatest multiple by which an unhealthy VM stretches its own timers.
    unsigned max_health_score = 8;
};

/// This VM. `incarnation` must be greater than that of any earlier process of the same id, which
/// the start time in milliseconds since the epoch is.
struct self_description {
    std::string vm{};
    std::string failure_domain{};
    std::string address{};
    std::uint64_t incarnation{};
};

/// A VM that may exist: from the settings or from the platform's lagging list.
struct seed {
    std::string vm{};
    std::string failure_domain{};
    std::string address{};
};

/// A VM as it is known here.
struct member {
    std::string vm{};
    std::string failure_domain{};
    std::string address{};
    peer::member_state state{};
    std::uint64_t incarnation{};
    std::uint64_t rules_version{};

    bool operator==(const member&) const = default;
};

/// @name Events
/// Every event carries the monotonic time at which it is decided.
/// @{

/// To be given every 50 to 100 ms.
struct tick {
    time_point now{};
};

/// A peer message of any kind; those that are not about membership change nothing.
struct message_received {
    time_point now{};
    peer::message body{};
};

/// A probe, sent as an action before, failed early, such as by a refused connection.
struct probe_failed {
    time_point now{};
    std::uint64_t probe{};
};

/// The platform's list of live VMs. It only names VMs to try.
struct vm_list_received {
    time_point now{};
    std::vector<seed> vms{};
};

/// This VM leaves: it tells so at once.
struct leave_requested {
    time_point now{};
};

/// The rules version in force on this VM.
struct rules_in_force {
    time_point now{};
    std::uint64_t version{};
};

/// Who holds a scheduler lease, as read from the table.
struct lease_observed {
    time_point now{};
    peer::lease_view lease{};
};

using event = std::variant<tick, message_received, probe_failed, vm_list_received, leave_requested,
                           rules_in_force, lease_observed>;
/// @}

/// @name Actions
/// @{

/// Send a message. A `ping_ack` to the sender of the message just received may be its HTTP answer.
struct send_message {
    std::string vm{};
    std::string address{};
    peer::message body{};
};

/// A member is new or changed its state.
struct member_changed {
    member now_is{};
    /// Empty when the member is new.
    std::optional<peer::member_state> was{};
};

/// A VM has newer rules than this one.
struct newer_rules_seen {
    std::string vm{};
    std::string address{};
    std::uint64_t version{};
};

/// Another VM knows a later lease of a failure domain. A hint, never the truth.
struct lease_learned {
    peer::lease_view lease{};
};

/// This process did not run for `gap`. Its leases may have lapsed meanwhile.
struct pause_noticed {
    milliseconds gap{};
};

/// This VM was called suspect or dead and denied it.
struct refuted {
    std::uint64_t incarnation{};
    std::string reporter{};
};

using action = std::variant<send_message, member_changed, newer_rules_seen, lease_learned,
                            pause_noticed, refuted>;
/// @}

namespace internal
{
class group_state;
}

/// The group of VMs as this VM sees it. Not thread-safe: one duty owns it.
class group
{
public:
    group(group&&) noexcept;
    group& operator=(group&&) noexcept;
    ~group();

    /// Takes in an event. The same events in the same order give the same actions.
    [[nodiscard]] std::vector<action> decide(const event& what);

    /// Every VM known, this one included, by id. Dead ones as long as they are remembered.
    [[nodiscard]] std::vector<member> members() const;

    /// The VM of this id.
    [[nodiscard]] std::optional<member> find(std::string_view vm) const;

    /// The VMs that may be given work: alive or suspected, not leaving. This one included.
    [[nodiscard]] std::vector<member> live(std::string_view failure_domain) const;

    /// Whether this VM speaks for its failure domain.
    [[nodiscard]] bool is_delegate() const;

    /// What is known of the scheduler leases, by failure domain.
    [[nodiscard]] std::vector<peer::lease_view> leases() const;

    /// 0 when this VM keeps its times; up to `config::max_health_score` when it lags.
    [[nodiscard]] unsigned health_score() const;

private:
    friend base::result<group> create(const config& limits, self_description self,
                                      std::vector<seed> seeds, std::uint64_t random_seed);
    explicit group(std::unique_ptr<internal::group_state> state);

    std::unique_ptr<internal::group_state> state_;
};

/// A group of which only this VM is known to be there.
/// `settings_out_of_range` or `settings_contradictory` names the member of `limits`.
[[nodiscard]] base::result<group> create(const config& limits, self_description self,
                                         std::vector<seed> seeds, std::uint64_t random_seed);

} // namespace poplarstile::membership
