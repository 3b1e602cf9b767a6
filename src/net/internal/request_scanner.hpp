#pragma once

#include "net/request_ledger.hpp"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace poplarstile::net::internal
{

/// Follows the requests of a connection to know what the one under way has received. Uses the
/// parser that RESTinio uses, so that both agree on where a request ends.
class request_scanner
{
public:
    request_scanner();
    request_scanner(const request_scanner&) = delete;
    request_scanner& operator=(const request_scanner&) = delete;

    /// The requests that are whole with these bytes, as one size; nothing when none is.
    [[nodiscard]] std::optional<request_size> scan(std::string_view bytes,
                                                   std::size_t max_body_bytes);

    /// The request under way has, or has announced, a longer body than was allowed. Nothing after
    /// that is followed.
    [[nodiscard]] bool body_too_long() const
    {
        return body_too_long_;
    }

    /// Of the request under way, as far as it has been received.
    [[nodiscard]] const request_size& size() const
    {
        return size_;
    }

private:
    static const http_parser_settings& callbacks();
    int add_head(std::size_t length);
    int add_body(std::size_t length);
    int check_announced(std::uint64_t length);
    void complete_request();
    void begin_request();

    http_parser parser_{};
    request_size size_;
    std::size_t max_body_bytes_ = 0;
    std::optional<request_size> completed_;
    bool body_too_long_ = false;
    /// What follows is not HTTP that can be parsed, or not HTTP any more.
    bool opaque_ = false;
};

} // namespace poplarstile::net::internal
