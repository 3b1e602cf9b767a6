#pragma once

#include "net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace poplarstile::net
{

/// What the whole process may use.
struct process_limits {
    std::size_t descriptors = 0;
    /// 0 when it is not known: then that of the smallest VM that is served is assumed.
    std::size_t memory_mb = 0;
};

/// Who connects to a port.
enum class port_use : std::uint8_t {
    callers,
    /// The other VMs.
    peers,
    /// The balancer's questions and the collection of metrics, which have no bodies.
    monitoring,
};

/// Such as `callers`.
[[nodiscard]] std::string_view name_of(port_use use);

/// Sets the bounds of a port so that all ports together leave most of the memory, and the
/// descriptors that the process needs for its own connections, to the process. Load pattern:
/// clients that are out of control on a VM with 120 MB or few descriptors.
void set_port_bounds(http_server_options& options, port_use use, const process_limits& limits);

} // namespace poplarstile::net
