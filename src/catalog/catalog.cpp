#include "catalog/catalog.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

namespace poplarstile::catalog
{
namespace
{

std::string normalize_host(std::string_view host)
{
    const auto colon = host.rfind(':');
    const bool has_port =
        colon != std::string_view::npos && host.find(']') == std::string_view::npos;
    std::string name{has_port ? host.substr(0, colon) : host};
    std::ranges::transform(name, name.begin(), [](unsigned char letter) {
        return static_cast<char>(std::tolower(letter));
    });
    return name;
}

template <class Entry>
const Entry* find_by_name(const std::vector<Entry>& entries, std::string_view name)
{
    const auto found = std::ranges::find(entries, name, &Entry::name);
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

catalog::catalog(contents parts) : parts_{std::move(parts)}
{
    for (const auto& entry : parts_.queues) {
        by_host_[normalize_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, queues] : by_host_) {
        std::ranges::stable_sort(queues, std::ranges::greater{},
                                 [](const queue* entry) { return entry->prefix.size(); });
    }
    for (const auto& owner : parts_.workspaces) {
        for (const auto& key : owner.keys) {
            by_key_.emplace(key, &owner);
        }
    }
}

const queue* catalog::match(std::string_view host, std::string_view path) const
{
    const auto found = by_host_.find(normalize_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    for (const auto* entry : found->second) {
        if (path.starts_with(entry->prefix)) {
            return entry;
        }
    }
    return nullptr;
}

const workspace* catalog::workspace_of(std::string_view key) const
{
    const auto found = by_key_.find(std::string{key});
    return found == by_key_.end() ? nullptr : found->second;
}

const workspace* catalog::workspace_named(std::string_view name) const
{
    return find_by_name(parts_.workspaces, name);
}

const queue* catalog::queue_named(std::string_view name) const
{
    const auto found = std::ranges::find(parts_.queues, name,
                                         [](const queue& entry) { return entry.policy.queue; });
    return found == parts_.queues.end() ? nullptr : &*found;
}

const service* catalog::service_named(std::string_view name) const
{
    return find_by_name(parts_.services, name);
}

} // namespace poplarstile::catalog
