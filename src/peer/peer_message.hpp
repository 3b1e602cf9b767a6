#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What the VMs say to each other, as values of our own; `peer_codec.hpp` turns them into bytes.
namespace poplarstile::peer
{

/// States of a member, in the order in which they override each other at one incarnation.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// The name in the operators' JSON.
[[nodiscard]] std::string_view name_of(member_state state);

/// What one VM says of another.
struct member_update {
    std::string vm{};
    std::string failure_domain{};
    /// Peer address, `IP:port`.
    std::string address{};
    member_state state{};
    std::uint64_t incarnation{};
    /// The greatest rules version that the sender knows to be in force there.
    std::uint64_t rules_version{};
    /// The VM that first made the claim, for `suspect` and `dead`; empty otherwise.
    std::string reporter{};

    bool operator==(const member_update&) const = default;
};

/// Who is thought to be the scheduler of a failure domain. A hint, never the truth.
struct lease_view {
    std::string failure_domain{};
    std::string holder{};
    std::uint64_t epoch{};

    bool operator==(const lease_view&) const = default;
};

/// What every probe and its answer carry besides.
struct gossip {
    std::string from{};
    std::uint64_t incarnation{};
    std::uint64_t hlc{};
    std::uint64_t rules_version{};
    std::vector<member_update> updates{};
    std::vector<lease_view> leases{};

    bool operator==(const gossip&) const = default;
};

/// Asks `target` for a sign of life. `probe` comes back in the answer.
struct ping {
    std::uint64_t probe{};
    std::string target{};
    gossip header{};

    bool operator==(const ping&) const = default;
};

/// `target` is alive. Sent by itself, or passed on by the VM that was asked to probe it.
struct ping_ack {
    std::uint64_t probe{};
    std::string target{};
    gossip header{};

    bool operator==(const ping_ack&) const = default;
};

/// Asks the receiver to probe `target` in the sender's place.
struct ping_request {
    std::uint64_t probe{};
    std::string target{};
    gossip header{};

    bool operator==(const ping_request&) const = default;
};

/// Asks for all rule changes after a version.
struct rules_request {
    std::string from{};
    std::uint64_t after_version{};

    bool operator==(const rules_request&) const = default;
};

/// Changes from one version to another, or, when `snapshot` is not empty, the whole at
/// `to_version`.
struct rules_reply {
    std::uint64_t from_version{};
    std::uint64_t to_version{};
    /// One JSON text per change, oldest first.
    std::vector<std::string> entries{};
    std::string snapshot{};

    bool operator==(const rules_reply&) const = default;
};

/// The sender leaves for good and takes no more work.
struct leave {
    std::string vm{};
    std::uint64_t incarnation{};

    bool operator==(const leave&) const = default;
};

enum class scheduler_call : std::uint8_t { submit, cancel, show, why, fragmentation, list };

/// A call that only the scheduler of a failure domain can answer; `payload` is JSON.
struct scheduler_forward {
    scheduler_call kind{};
    std::string from{};
    std::string payload{};

    bool operator==(const scheduler_forward&) const = default;
};

/// The scheduler's answer: an HTTP status and the JSON for the caller.
struct scheduler_answer {
    std::uint16_t status{};
    std::string payload{};

    bool operator==(const scheduler_answer&) const = default;
};

/// Requests that the sender has in flight at one worker.
struct worker_load {
    std::string worker{};
    std::uint32_t in_flight{};

    bool operator==(const worker_load&) const = default;
};

/// The sender's share of each worker's load.
struct load_report {
    std::string from{};
    std::vector<worker_load> workers{};

    bool operator==(const load_report&) const = default;
};

/// Asks for the members with a greater id than `after`; empty for the first page.
struct members_request {
    std::string from{};
    std::string after{};

    bool operator==(const members_request&) const = default;
};

/// One page of members by id. `more` says that another page follows.
struct members_reply {
    std::string from{};
    std::vector<member_update> updates{};
    bool more{};

    bool operator==(const members_reply&) const = default;
};

/// Any message between VMs.
using message =
    std::variant<ping, ping_ack, ping_request, rules_request, rules_reply, leave, scheduler_forward,
                 scheduler_answer, load_report, members_request, members_reply>;

} // namespace poplarstile::peer
