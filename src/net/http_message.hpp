#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP messages as plain values, free of the libraries that carry them.
namespace poplarstile::net
{

struct http_header {
    std::string name{};
    std::string value{};
};

/// A request as the server received it, whole.
struct http_request {
    std::string method{};
    /// Path without the query, such as `/v1/jobs/17`.
    std::string path{};
    /// Query without `?`; empty when there is none.
    std::string query{};
    std::vector<http_header> headers{};
    std::string body{};
    /// Address of the caller without its port.
    std::string remote_address{};
    /// True when the caller's address held more connections than allowed when this one was opened.
    bool over_connection_limit = false;

    /// Value of the first header of this name, in any case.
    [[nodiscard]] std::optional<std::string_view> header(std::string_view name) const;

    /// How many headers have this name, in any case.
    [[nodiscard]] std::size_t header_count(std::string_view name) const;

    /// Decoded value of a query parameter.
    [[nodiscard]] std::optional<std::string> query_value(std::string_view name) const;
};

struct http_response {
    std::uint16_t status = 200;
    std::vector<http_header> headers{};
    std::string body{};
    std::string content_type = "application/json";
    /// Closes the connection after the response.
    bool close = false;
};

/// True when both are the same name; header names ignore case.
[[nodiscard]] bool same_header_name(std::string_view left, std::string_view right);

/// Percent-encodes everything but unreserved characters.
[[nodiscard]] std::string url_encode(std::string_view text);

/// Undoes percent-encoding; broken escapes are kept as they are.
[[nodiscard]] std::string url_decode(std::string_view text);

/// Parts of a path between its slashes: `/v1/jobs/17` gives `v1`, `jobs`, `17`.
/// The views point into `path`.
[[nodiscard]] std::vector<std::string_view> split_path(std::string_view path);

} // namespace poplarstile::net
