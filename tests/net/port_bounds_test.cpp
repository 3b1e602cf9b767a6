#include "net/port_bounds.hpp"
#include "net/request_ledger.hpp"

#include <gtest/gtest.h>

/// What the ports of a process may use of its memory and descriptors.
namespace poplarstile::net
{
namespace
{

constexpr std::size_t mib = std::size_t{1024} * 1024;
constexpr std::size_t largest_body = std::size_t{256} * 1024;

http_server_options bounds_of(port_use use, const process_limits& limits)
{
    http_server_options options;
    set_port_bounds(options, use, limits);
    return options;
}

// Guards against a least VM on which the largest request of a caller does not fit.
TEST(port_bounds, TheLeastVmHasRoomForTheLargestBodyInChunksOfOneByte)
{
    const auto options = bounds_of(port_use::callers, {.descriptors = 3'075, .memory_mb = 120});

    EXPECT_GE(options.max_request_memory,
              memory_of({.body_bytes = largest_body, .chunks = largest_body}));
    EXPECT_GE(options.max_connections, 500U);
}

// Guards against ports that together leave too little to the rest of the process.
TEST(port_bounds, AllPortsTogetherLeaveMostToTheProcess)
{
    for (const process_limits limits :
         {process_limits{256, 120}, process_limits{3'075, 120}, process_limits{10'250, 512}}) {
        const auto callers = bounds_of(port_use::callers, limits);
        const auto peers = bounds_of(port_use::peers, limits);
        const auto monitoring = bounds_of(port_use::monitoring, limits);

        EXPECT_LE(callers.max_request_memory + peers.max_request_memory +
                      2 * monitoring.max_request_memory,
                  limits.memory_mb * mib * 3 / 10);
        EXPECT_LE(callers.max_connections + peers.max_connections + 2 * monitoring.max_connections,
                  limits.descriptors * 3 / 8);
    }
}

// Guards against bounds that together exceed a small VM whose settings do not tell its memory.
TEST(port_bounds, UnknownMemoryIsThatOfTheLeastVm)
{
    constexpr std::size_t descriptors = 4'096;
    for (const auto use : {port_use::callers, port_use::peers, port_use::monitoring}) {
        const auto unknown = bounds_of(use, {.descriptors = descriptors});
        const auto least = bounds_of(use, {.descriptors = descriptors, .memory_mb = 120});

        EXPECT_EQ(unknown.max_request_memory, least.max_request_memory) << name_of(use);
        EXPECT_EQ(unknown.max_connections, least.max_connections) << name_of(use);
        EXPECT_EQ(unknown.receive_buffer_bytes, least.receive_buffer_bytes) << name_of(use);
        EXPECT_EQ(unknown.send_buffer_bytes, least.send_buffer_bytes) << name_of(use);
        EXPECT_GT(unknown.max_request_memory, 0U) << name_of(use);
    }
    EXPECT_EQ(bounds_of(port_use::callers, {.descriptors = descriptors}).max_connections, 768U);
}

} // namespace
} // namespace poplarstile::net
