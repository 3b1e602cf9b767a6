#include "net/http_message.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>

namespace poplarstile::net
{
namespace
{

int hex_value(char digit)
{
    if (digit >= '0' && digit <= '9') {
        return digit - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(digit));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

bool same_header_name(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right, [](unsigned char one, unsigned char other) {
        return std::tolower(one) == std::tolower(other);
    });
}

std::optional<std::string_view> http_request::header(std::string_view name) const
{
    const auto found = std::ranges::find_if(
        headers, [name](const http_header& entry) { return same_header_name(entry.name, name); });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view>{found->value};
}

std::size_t http_request::header_count(std::string_view name) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        headers, [name](const http_header& entry) { return same_header_name(entry.name, name); }));
}

std::optional<std::string> http_request::query_value(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : url_decode(pair.substr(equals + 1));
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return std::nullopt;
}

std::string url_encode(std::string_view text)
{
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = std::isalnum(byte) != 0 || character == '-' || character == '.' ||
                                character == '_' || character == '~';
        if (unreserved) {
            encoded += character;
        } else {
            encoded += fmt::format("%{:02X}", byte);
        }
    }
    return encoded;
}

std::string url_decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size() &&
                            hex_value(text[at + 1]) >= 0 && hex_value(text[at + 2]) >= 0;
        if (escape) {
            decoded += static_cast<char>(hex_value(text[at + 1]) * 16 + hex_value(text[at + 2]));
            at += 2;
        } else {
            decoded += text[at] == '+' ? ' ' : text[at];
        }
    }
    return decoded;
}

std::vector<std::string_view> split_path(std::string_view path)
{
    std::vector<std::string_view> parts;
    while (!path.empty()) {
        const auto end = path.find('/');
        const auto part = path.substr(0, end);
        if (!part.empty()) {
            parts.push_back(part);
        }
        path = end == std::string_view::npos ? std::string_view{} : path.substr(end + 1);
    }
    return parts;
}

} // namespace poplarstile::net
