#pragma once

#include "cluster/job_view.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Messages between the VMs of one site: the leader's heartbeat with status changes, hellos,
/// configurations, and store calls relayed for a VM that can't reach the store.
namespace poplarstile::cluster
{

/// Identity, address and size of one VM.
struct vm_entry {
    std::string vm{};
    /// Differs between two starts of the same VM; increases with time.
    std::uint64_t incarnation = 0;
    /// Peer address, `IP:port`.
    std::string address{};
    std::string failure_domain{};
    /// CPU limit of the VM, in thousandths of a core.
    std::uint32_t processor_millis = 0;
    /// Bandwidth of the VM's link, in kbit/s; 0 when it is not known.
    std::uint32_t link_kbit = 0;

    bool operator==(const vm_entry&) const = default;
};

/// A change of a leader's list of VMs.
struct vm_list_change {
    /// Version of the list that this change follows on; 0 when `added` is the whole list.
    std::uint64_t base = 0;
    /// Version of the list once the change is applied.
    std::uint64_t version = 0;
    std::vector<vm_entry> added{};
    /// Peer addresses of VMs that are no longer listed.
    std::vector<std::string> removed{};

    bool operator==(const vm_list_change&) const = default;
};

/// The leader's heartbeat, with every job status change since the last heartbeat to the receiver.
struct leader_heartbeat {
    vm_entry leader{};
    std::uint64_t epoch = 0;
    /// Counts the heartbeats to one receiver; on a gap the receiver requests a snapshot.
    std::uint64_t sequence = 0;
    /// `changes` holds every job that has not ended.
    bool snapshot = false;
    /// The leader has not loaded all parts yet: jobs missing from this message may exist.
    bool partial = false;
    std::vector<job_view> changes{};
    std::vector<queue_load> loads{};
    /// Store version of the newest configuration that the leader has.
    std::uint64_t configuration = 0;
    /// Time since the leader last verified that no newer configuration exists.
    std::uint32_t configuration_ms_ago = 0;
    /// Age of the leader's newest confirmed commit.
    std::uint32_t confirmed_ms_ago = 0;
    /// What has changed in the list of all VMs, the leader included, since the version that the
    /// receiver has confirmed.
    vm_list_change vms{};
    /// The leader has released its lease; any other VM may take it.
    bool vacant = false;
    /// VM that may take the vacant lease first, and the lease row's version that it should expect.
    std::string successor{};
    std::uint64_t lease_version = 0;
    std::uint32_t lease_part = 0;

    bool operator==(const leader_heartbeat&) const = default;
};

/// A VM's reply to a heartbeat; also acknowledges messages that expect no data.
struct heartbeat_reply {
    vm_entry from{};
    std::uint64_t epoch = 0;
    bool wants_snapshot = false;
    std::uint64_t configuration = 0;
    /// The VM is shutting down and will not lead.
    bool leaving = false;
    /// Version that it has of the leader's list of VMs; 0 when it has none.
    std::uint64_t vms_version = 0;

    bool operator==(const heartbeat_reply&) const = default;
};

/// Introduces the sender and requests what the receiver knows about the leader.
struct hello {
    vm_entry from{};

    bool operator==(const hello&) const = default;
};

/// The reply to a hello: the leader as the answering VM sees it, and the VMs it knows.
struct hello_answer {
    vm_entry from{};
    vm_entry leader{};
    /// 0 when no leader is known.
    std::uint64_t epoch = 0;
    std::uint32_t leader_seen_ms_ago = 0;
    std::vector<vm_entry> vms{};
    std::uint64_t configuration = 0;

    bool operator==(const hello_answer&) const = default;
};

/// Requests the configuration if the receiver has a newer version.
struct configuration_request {
    /// Version that the sender has.
    std::uint64_t known_version = 0;

    bool operator==(const configuration_request&) const = default;
};

/// The reply to a `configuration_request`.
struct configuration_reply {
    std::uint64_t version = 0;
    /// Empty when the requesting VM's version is at least as new.
    std::string document{};
    /// Time since the answering VM itself verified that no newer version exists.
    std::uint32_t confirmed_ms_ago = 0;

    bool operator==(const configuration_reply&) const = default;
};

/// A store call that the receiver makes on behalf of the sender.
struct store_call {
    std::string method{};
    std::string target{};
    std::string body{};
    /// How long the store may delay its answer (long poll).
    std::uint32_t wait_ms = 0;
    /// As in `store::link_call`.
    std::string scope{};

    bool operator==(const store_call&) const = default;
};

/// The result of a relayed `store_call`.
struct store_answer {
    /// A value of `net::delivery`.
    std::uint8_t delivery = 0;
    std::uint16_t status = 0;
    std::string body{};

    bool operator==(const store_answer&) const = default;
};

/// A row of the jobs table that the sender has stored, sent to the leader so that it need not wait
/// for the store's feed.
struct stored_row {
    std::string part{};
    std::string key{};
    std::string value{};
    std::uint64_t version = 0;

    bool operator==(const stored_row&) const = default;
};

/// A submission whose outcome the sender does not know: no VM may report that it was not accepted.
struct uncertain_submission {
    std::string job{};

    bool operator==(const uncertain_submission&) const = default;
};

/// Any message between VMs.
using message =
    std::variant<leader_heartbeat, heartbeat_reply, hello, hello_answer, configuration_request,
                 configuration_reply, store_call, store_answer, stored_row, uncertain_submission>;

/// True for a message by which the receiver writes to the store. It must not be sent a second time
/// without the sender's knowledge: the answer tells only what became of the last sending.
[[nodiscard]] inline bool carries_write(const message& sent)
{
    const auto* const call = std::get_if<store_call>(&sent);
    return call != nullptr && call->method != "GET";
}

} // namespace poplarstile::cluster
