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

/// The operator's configuration: queues, workspaces, API keys, services and request limits.
namespace poplarstile::catalog
{

/// A queue that callers submit jobs to, with the policy by which its jobs run.
struct queue {
    batch::queue_policy policy{};
    /// A request belongs to the queue of its host that has the longest matching path prefix.
    std::string host{};
    std::string prefix{};
    /// Callers need no API key.
    bool open_to_all = false;
    /// Steps run only on workers that the advice service names.
    bool needs_advice = false;
};

/// A customer's workspace, with its API keys and guaranteed accelerators.
struct workspace {
    std::string name{};
    std::vector<std::string> keys{};
    /// Accelerators that are reserved for the workspace's priority-0 jobs at all times.
    std::int64_t guaranteed_accelerators = 0;
};

/// A service whose workers run steps.
struct service {
    std::string name{};
    std::size_t max_connections = 0;
    /// Its workers reject a run that exceeds their capacity; workers of other services start
    /// every run that they are sent.
    bool enforces_capacity = false;
    /// Its machines are powered off.
    bool spare = false;
};

/// Size limits and timeouts for the requests of callers.
struct request_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{256} * 1024;
    base::milliseconds header_timeout{3'000};
    base::milliseconds idle_timeout{15'000};
};

/// One complete version of the operator's configuration.
struct contents {
    std::uint64_t version = 0;
    std::vector<queue> queues{};
    std::vector<workspace> workspaces{};
    std::vector<service> services{};
    request_limits limits{};
};

/// An immutable configuration with indexes for lookup. A newer version replaces it as a whole.
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

    /// Returns the queue that a request belongs to, or null. `host` may include a port.
    [[nodiscard]] const queue* match(std::string_view host, std::string_view path) const;

    /// Returns the workspace that an API key belongs to, or null.
    [[nodiscard]] const workspace* workspace_of(std::string_view key) const;

    /// These return the entry of that name, or null.
    [[nodiscard]] const workspace* workspace_named(std::string_view name) const;
    [[nodiscard]] const queue* queue_named(std::string_view name) const;
    [[nodiscard]] const service* service_named(std::string_view name) const;

private:
    contents parts_;
    /// Queues by normalized host, longest prefix first.
    std::map<std::string, std::vector<const queue*>, std::less<>> by_host_{};
    std::unordered_map<std::string, const workspace*> by_key_{};
};

using catalog_ptr = std::shared_ptr<const catalog>;

} // namespace poplarstile::catalog
