#include "net/port_bounds.hpp"

#include <algorithm>
#include <array>

namespace poplarstile::net
{
namespace
{

constexpr std::size_t kib = 1'024;
constexpr std::size_t mib = kib * kib;

/// Of the smallest VM that is served; assumed where the memory is not known.
constexpr std::size_t least_memory_mb = 120;
/// Of the memory: 15 MiB of the least VM with 120 MB, enough for a body of 256 KiB in chunks of one
/// byte, which takes 9 MiB.
constexpr std::size_t request_memory_divisor = 8;
constexpr std::size_t connection_memory_divisor = 4;
/// RESTinio's buffer and state, and a receive buffer that the system counts twice.
constexpr std::size_t connection_bytes = 40 * kib;
constexpr std::size_t receive_buffer_bytes = 16 * kib;
/// Answers to callers are short.
constexpr std::size_t send_buffer_bytes = 16 * kib;
/// The clients for workers, VMs and the store keep up to five eighths of the descriptors. The ports
/// have a quarter, plus a few connections that are being closed.
constexpr std::size_t caller_sixteenths = 3;
constexpr std::size_t sixteenths = 16;
constexpr std::size_t monitoring_divisor = 64;
constexpr std::size_t least_connections = 8;
constexpr std::size_t monitoring_memory = mib;
constexpr std::size_t monitoring_body = 64 * kib;

std::size_t share_of_descriptors(port_use use, std::size_t descriptors)
{
    switch (use) {
    case port_use::callers:
        return descriptors * caller_sixteenths / sixteenths;
    case port_use::peers:
        return descriptors / sixteenths;
    case port_use::monitoring:
        break;
    }
    return descriptors / monitoring_divisor;
}

} // namespace

std::string_view name_of(port_use use)
{
    static constexpr std::array<std::string_view, 3> names{"callers", "peers", "monitoring"};
    return names.at(static_cast<std::size_t>(use));
}

void set_port_bounds(http_server_options& options, port_use use, const process_limits& limits)
{
    const auto memory = (limits.memory_mb > 0 ? limits.memory_mb : least_memory_mb) * mib;
    options.max_connections =
        std::max(least_connections, share_of_descriptors(use, limits.descriptors));
    if (use == port_use::monitoring) {
        options.max_request_memory = monitoring_memory;
        options.max_body_bytes = monitoring_body;
        return;
    }
    options.max_request_memory = memory / request_memory_divisor;
    if (use == port_use::callers) {
        options.receive_buffer_bytes = receive_buffer_bytes;
        options.send_buffer_bytes = send_buffer_bytes;
        const auto affordable = memory / connection_memory_divisor / connection_bytes;
        options.max_connections =
            std::max(least_connections, std::min(options.max_connections, affordable));
    }
}

} // namespace poplarstile::net
