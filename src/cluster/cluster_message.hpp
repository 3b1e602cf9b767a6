#pragma once

#include "cluster/job_view.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// What the VMs of one site say to each other: the leader's beat with what changed, greetings,
/// configurations, and calls to the store on behalf of a VM that can't reach it.
namespace poplarstile::cluster
{

struct vm_entry {
    std::string vm{};
    /// Tells lives of one VM apart.
    std::uint64_t incarnation = 0;
    /// Peer address, `IP:port`.
    std::string address{};
    std::string failure_domain{};
    /// Processor that the VM may use, in thousandths of a core.
    std::uint32_t processor_millis = 0;

    bool operator==(const vm_entry&) const = default;
};

/// The leader's sign of life, with every change of a job's status since the receiver's last beat.
struct leader_heartbeat {
    vm_entry leader{};
    std::uint64_t epoch = 0;
    /// Counts the beats to one receiver; a gap asks for a snapshot.
    std::uint64_t sequence = 0;
    /// `changes` holds every job that is not over.
    bool snapshot = false;
    /// The leader has not read all parts yet: jobs that it doesn't tell of may exist.
    bool partial = false;
    std::vector<job_view> changes{};
    std::vector<queue_load> loads{};
    /// Store version of the newest configuration that the leader knows.
    std::uint64_t configuration = 0;
    /// Age of the leader's proof that no newer configuration exists.
    std::uint32_t configuration_ms_ago = 0;
    /// Age of the leader's newest answered commit.
    std::uint32_t confirmed_ms_ago = 0;
    std::vector<vm_entry> vms{};
    /// The leader has handed the lease back; any other VM may take it.
    bool vacant = false;
    /// VM that takes the vacant lease first, and the version of the lease row that it finds.
    std::string successor{};
    std::uint64_t lease_version = 0;
    std::uint32_t lease_part = 0;

    bool operator==(const leader_heartbeat&) const = default;
};

struct heartbeat_reply {
    vm_entry from{};
    std::uint64_t epoch = 0;
    bool wants_snapshot = false;
    std::uint64_t configuration = 0;
    /// The VM is shutting down and will not lead.
    bool leaving = false;

    bool operator==(const heartbeat_reply&) const = default;
};

/// Introduces a VM, and asks what the other knows of the leader.
struct hello {
    vm_entry from{};

    bool operator==(const hello&) const = default;
};

struct hello_answer {
    vm_entry from{};
    vm_entry leader{};
    /// 0 when no leader is known.
    std::uint64_t epoch = 0;
    std::uint32_t leader_heard_ms_ago = 0;
    std::vector<vm_entry> vms{};
    std::uint64_t configuration = 0;

    bool operator==(const hello_answer&) const = default;
};

struct configuration_request {
    /// Version that the asker has.
    std::uint64_t have = 0;

    bool operator==(const configuration_request&) const = default;
};

struct configuration_reply {
    std::uint64_t version = 0;
    /// Empty when the asker's version is as new.
    std::string document{};
    /// Age of the answering VM's own proof that nothing newer exists.
    std::uint32_t confirmed_ms_ago = 0;

    bool operator==(const configuration_reply&) const = default;
};

/// A call to the store, made by the receiver.
struct store_call {
    std::string method{};
    std::string target{};
    std::string body{};
    /// How long the store may hold the call back.
    std::uint32_t wait_ms = 0;
    /// As in `store::link_call`.
    std::string scope{};

    bool operator==(const store_call&) const = default;
};

struct store_answer {
    /// As `net::delivery`.
    std::uint8_t delivery = 0;
    std::uint16_t status = 0;
    std::string body{};

    bool operator==(const store_answer&) const = default;
};

/// A row of the jobs table that the sender has stored, told to the leader ahead of the store's
/// feed.
struct stored_row {
    std::string part{};
    std::string key{};
    std::string value{};
    std::uint64_t version = 0;

    bool operator==(const stored_row&) const = default;
};

/// A submission whose effect the sender does not know: nobody may say of it that it was not
/// accepted.
struct uncertain_submission {
    std::string job{};

    bool operator==(const uncertain_submission&) const = default;
};

using message =
    std::variant<leader_heartbeat, heartbeat_reply, hello, hello_answer, configuration_request,
                 configuration_reply, store_call, store_answer, stored_row, uncertain_submission>;

} // namespace poplarstile::cluster
