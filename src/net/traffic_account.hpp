#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

namespace poplarstile::net
{

/// Calls of one purpose and their bytes on the wire, headers included.
struct traffic {
    std::uint64_t calls = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    /// Of the calls, those that the library sent a second time on a new connection.
    std::uint64_t resent = 0;
};

/// Counts the calls of a client by purpose, so that it can be seen what fills a link.
class traffic_account
{
public:
    /// `purpose` is a string literal, as in `http_call`.
    void record(std::string_view purpose, std::size_t sent_bytes, std::size_t received_bytes,
                bool resent)
    {
        auto& counted = by_purpose_[purpose];
        ++counted.calls;
        counted.resent += resent ? 1 : 0;
        counted.sent_bytes += sent_bytes;
        counted.received_bytes += received_bytes;
    }

    [[nodiscard]] const std::map<std::string_view, traffic>& by_purpose() const
    {
        return by_purpose_;
    }

private:
    std::map<std::string_view, traffic> by_purpose_{};
};

} // namespace poplarstile::net
