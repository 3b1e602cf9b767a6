#pragma once

#include "base/time.hpp"
#include "batch/job_spec.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Queues, workspaces, keys and services that the operator has put in force.
namespace poplarstile::catalog
{

/// A queue that callers submit to, and how its jobs are run.
struct queue {
    batch::queue_policy policy{};
    /// Requests are matched by host and by the longest prefix that their path begins with.
    std::string host{};
    std::string prefix{};
    /// Callers need no key.
    bool open_to_all = false;
    /// Steps run only on workers that the advice service names.
    bool needs_advice = false;
};

struct workspace {
    std::string name{};
    std::vector<std::string> keys{};
    /// Accelerators that belong to its jobs of priority 0 at all times.
    std::int64_t guaranteed_accelerators = 0;
};

struct service {
    std::string name{};
    std::size_t max_connections = 0;
    /// Its workers reject what does not fit; others start whatever they are told to.
    bool enforces_capacity = false;
    /// Its machines are off.
    bool spare = false;
};

struct request_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    base::milliseconds header_timeout{3'000};
    base::milliseconds idle_timeout{15'000};
};

/// One configuration of the operator, whole.
struct contents {
    std::uint64_t version = 0;
    std::vector<queue> queues{};
    std::vector<workspace> workspaces{};
    std::vector<service> services{};
    request_limits limits{};
};

/// A configuration, indexed. Never changes; a newer one takes its place as a whole.
class catalog
{
public:
    explicit catalog(contents parts);

    [[nodiscard]] std::uint64_t version() const
    {
        return parts_.version;
    }
    [[nodiscard]] const contents& parts() const
    {
        return parts_;
    }

    /// The queue that a request belongs to, or none. `host` may carry a port.
    [[nodiscard]] const queue* match(std::string_view host, std::string_view path) const;

    /// The workspace that holds a key, or none.
    [[nodiscard]] const workspace* workspace_of(std::string_view key) const;

    [[nodiscard]] const workspace* workspace_named(std::string_view name) const;
    [[nodiscard]] const queue* queue_named(std::string_view name) const;
    [[nodiscard]] const service* service_named(std::string_view name) const;

private:
    contents parts_;
    /// By host, longest prefix first.
    std::map<std::string, std::vector<const queue*>, std::less<>> by_host_{};
    std::unordered_map<std::string, const workspace*> by_key_{};
};

using catalog_ptr = std::shared_ptr<const catalog>;

} // namespace poplarstile::catalog
