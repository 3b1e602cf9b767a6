#pragma once

#include "fleet/worker_facts.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace poplarstile::fleet
{

/// What became known of one worker's registration.
struct worker_change {
    std::string worker{};
    /// Nothing when the registration is gone or can't be used.
    std::optional<worker_facts> facts{};
    /// Why an entry that is there can't be used; empty otherwise.
    std::string fault{};
    /// The worker's clock as it stands in the entry, which may be some seconds old.
    std::int64_t worker_ms = 0;
};

struct directory_reply {
    store::call_outcome outcome = store::call_outcome::unknown;
    std::vector<worker_change> changes{};
    /// Where to go on following.
    store::row_version version = 0;
};

/// The port to the workers' registrations.
struct worker_directory {
    /// All registrations at one moment.
    std::function<void(std::function<void(directory_reply)>)> read_all{};
    /// Changes after a version, once there is one or the wait is over.
    std::function<void(store::row_version after, base::milliseconds wait,
                       std::function<void(directory_reply)>)>
        follow{};
};

} // namespace poplarstile::fleet
