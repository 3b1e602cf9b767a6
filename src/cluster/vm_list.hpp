#pragma once

#include "cluster/cluster_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The list of VMs that a leader sends in its heartbeats: whole at first, then only what changed,
/// so that heartbeats to many VMs do not grow with their number. Pure state, no I/O. Load pattern:
/// a few hundred VMs that hear several heartbeats a second, some of which are lost, late or
/// repeated.
namespace poplarstile::cluster
{

/// The leader's side: the listed VMs, each with the version of the list that changed it last.
class listed_vms
{
public:
    /// Replaces the list. The version increases only if the list changes.
    void set(const std::vector<vm_entry>& vms);

    /// What leads from a version that a VM has to the current one. From an unknown version, or one
    /// that is too old, it is the whole list.
    [[nodiscard]] vm_list_change since(std::uint64_t version) const;

private:
    struct listed {
        vm_entry entry{};
        std::uint64_t changed = 0;
    };

    void forget_oldest_removals();

    /// By peer address.
    std::map<std::string, listed> vms_{};
    /// Addresses that were removed from the list, with the version that removed them.
    std::map<std::string, std::uint64_t> removed_{};
    std::uint64_t version_ = 0;
    /// Removals up to this version are no longer known.
    std::uint64_t oldest_ = 0;
};

/// The other VMs' side: the list as received from the leader of one epoch.
class received_vms
{
public:
    /// Applies a change from the leader of `epoch`. Returns false, and changes nothing, if it does
    /// not follow on the version that is known, or is older.
    bool apply(std::uint64_t epoch, const vm_list_change& change);

    /// The version that is known of that leader's list; 0 when there is none.
    [[nodiscard]] std::uint64_t version(std::uint64_t epoch) const
    {
        return epoch == epoch_ ? version_ : 0;
    }

    /// By peer address.
    [[nodiscard]] const std::map<std::string, vm_entry>& vms() const
    {
        return vms_;
    }

private:
    std::map<std::string, vm_entry> vms_{};
    std::uint64_t epoch_ = 0;
    std::uint64_t version_ = 0;
};

} // namespace poplarstile::cluster
