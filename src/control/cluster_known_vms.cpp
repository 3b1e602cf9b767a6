#include "control/cluster_node.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

/// Which other VMs this VM knows: adding, forgetting and listing them.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"cluster"};
/// A VM that has not replied to the leader for this long is removed from the leader's list of known
/// VMs, and one that the leader has not listed for this long from those of the others.
constexpr base::milliseconds forget_after{90'000};
/// Bounds the memory that false entries can take.
constexpr std::size_t max_vms = 4'096;

} // namespace

void cluster_node::update_vm(const cluster::vm_entry& vm)
{
    if (vm.address.empty() || vm.address == options_.self.address) {
        return;
    }
    if (vms_.size() >= max_vms && !vms_.contains(vm.address)) {
        log.error("vm_not_added", {{"peer", vm.vm}, {"address", vm.address}, {"most", max_vms}});
        return;
    }
    auto& peer = vms_[vm.address];
    if (!vm.vm.empty() && (peer.entry.vm != vm.vm || peer.entry.incarnation != vm.incarnation)) {
        log.info("vm_known", {{"peer", vm.vm}, {"address", vm.address}, {"life", vm.incarnation}});
        peer.entry = vm;
        peer.vms_version = 0;
        peer.wants_snapshot = true;
        vms_changed_ = true;
        peer.answered_at = ports_.time->now();
    }
    if (peer.entry.address.empty()) {
        peer.entry.address = vm.address;
        vms_changed_ = true;
    }
    if (peer.answered_at == base::time_point{}) {
        peer.answered_at = ports_.time->now();
    }
}

void cluster_node::forget_silent_vms()
{
    // Before its term this VM expected no replies.
    const auto forgotten = std::erase_if(vms_, [this](const auto& entry) {
        const auto since = std::max(entry.second.answered_at, elected_at_);
        return ports_.time->now() - since > forget_after;
    });
    vms_changed_ = vms_changed_ || forgotten > 0;
}

void cluster_node::forget_unlisted_vms()
{
    const auto now = ports_.time->now();
    for (const auto& [address, vm] : received_vms_.vms()) {
        const auto found = vms_.find(address);
        if (found != vms_.end()) {
            found->second.listed_at = now;
        }
    }
    const auto forgotten = std::erase_if(vms_, [now](const auto& entry) {
        const auto& peer = entry.second;
        return now - std::max(peer.listed_at, peer.answered_at) > forget_after;
    });
    vms_changed_ = vms_changed_ || forgotten > 0;
}

std::vector<cluster::vm_entry> cluster_node::vms() const
{
    std::vector<cluster::vm_entry> entries;
    entries.reserve(vms_.size());
    for (const auto& [address, peer] : vms_) {
        entries.push_back(peer.entry);
    }
    return entries;
}

std::vector<std::string> cluster_node::relay_addresses() const
{
    std::vector<std::pair<base::time_point, std::string>> by_last_reply;
    for (const auto& [address, vm] : vms_) {
        by_last_reply.emplace_back(vm.answered_at, address);
    }
    std::ranges::sort(by_last_reply, std::ranges::greater{});
    std::vector<std::string> addresses;
    addresses.reserve(by_last_reply.size());
    for (auto& [replied_at, address] : by_last_reply) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

} // namespace poplarstile::control
