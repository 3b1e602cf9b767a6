#pragma once

#include "base/time.hpp"
#include "batch/job.hpp"
#include "batch/resources.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Workers: what they say of themselves, what is ordered from them, what is known of their clocks.
namespace poplarstile::fleet
{

/// What a worker has registered about itself.
struct worker_facts {
    batch::worker_incarnation life{};
    std::string service{};
    /// `IP:port`.
    std::string address{};
    std::string failure_domain{};
    batch::resources capacity{};
    std::vector<std::string> labels{};
    std::string rack{};
    bool draining = false;
    /// Least time until a draining worker leaves; nothing when it did not say.
    std::optional<base::milliseconds> remaining{};
    /// For how long the worker is slower than later, since it has started a short time ago.
    base::milliseconds cold_left{0};

    bool operator==(const worker_facts&) const = default;
};

} // namespace poplarstile::fleet
