#pragma once

#include "base/result.hpp"
#include "store/row_store.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace poplarstile::store
{

/// What the lease row says: who leads, and how many commits it has made. Each commit rewrites it,
/// so that its version defeats every earlier commit that is still under way.
struct lease_record {
    /// VM that leads; empty when the last holder handed the lease back.
    std::string holder{};
    /// Tells lives of one VM apart.
    std::uint64_t holder_born = 0;
    /// Peer address of the holder, `IP:port`.
    std::string address{};
    /// Grows with each holder; the fencing token at the workers.
    std::uint64_t epoch = 0;
    std::uint64_t commit = 0;

    bool operator==(const lease_record&) const = default;
};

/// True when one life of one VM wrote both. Two VMs may have started at the same moment, so a start
/// time alone tells none apart.
[[nodiscard]] bool same_holder(const lease_record& one, const lease_record& other);

/// Where the lease row stands. `part` is that of all rows which it protects.
[[nodiscard]] row_id lease_row(std::string_view part);

[[nodiscard]] std::string encode(const lease_record& record);

/// Error: `platform_answer_invalid`.
[[nodiscard]] base::result<lease_record> decode_lease(std::string_view text);

} // namespace poplarstile::store
