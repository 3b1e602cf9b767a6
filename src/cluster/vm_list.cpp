#include "cluster/vm_list.hpp"

#include <algorithm>

namespace poplarstile::cluster
{
namespace
{

/// Number of removed addresses that are kept for VMs with an older list.
constexpr std::size_t max_removals = 512;

} // namespace

void listed_vms::set(const std::vector<vm_entry>& vms)
{
    const auto next = version_ + 1;
    bool changed = version_ == 0;
    std::map<std::string, listed> current;
    for (const auto& vm : vms) {
        const auto known = vms_.find(vm.address);
        const bool same = known != vms_.end() && known->second.entry == vm;
        current[vm.address] = {vm, same ? known->second.changed : next};
        changed = changed || !same;
    }
    for (const auto& [address, entry] : vms_) {
        if (!current.contains(address)) {
            removed_[address] = next;
            changed = true;
        }
    }
    if (!changed) {
        return;
    }
    std::erase_if(removed_, [&](const auto& entry) { return current.contains(entry.first); });
    vms_ = std::move(current);
    version_ = next;
    forget_oldest_removals();
}

void listed_vms::forget_oldest_removals()
{
    while (removed_.size() > max_removals) {
        const auto oldest =
            std::ranges::min_element(removed_, {}, [](const auto& entry) { return entry.second; });
        oldest_ = std::max(oldest_, oldest->second);
        removed_.erase(oldest);
    }
}

vm_list_change listed_vms::since(std::uint64_t version) const
{
    vm_list_change change;
    change.version = version_;
    const bool known = version > 0 && version >= oldest_ && version <= version_;
    change.base = known ? version : 0;
    for (const auto& [address, vm] : vms_) {
        if (vm.changed > change.base) {
            change.added.push_back(vm.entry);
        }
    }
    for (const auto& [address, removed_at] : removed_) {
        if (known && removed_at > version) {
            change.removed.push_back(address);
        }
    }
    return change;
}

bool received_vms::apply(std::uint64_t epoch, const vm_list_change& change)
{
    const auto known = version(epoch);
    const bool whole = change.base == 0;
    if (epoch < epoch_ || change.version < known || (!whole && change.base != known)) {
        return false;
    }
    if (whole) {
        vms_.clear();
    }
    for (const auto& vm : change.added) {
        vms_.insert_or_assign(vm.address, vm);
    }
    for (const auto& address : change.removed) {
        vms_.erase(address);
    }
    epoch_ = epoch;
    version_ = change.version;
    return true;
}

} // namespace poplarstile::cluster
