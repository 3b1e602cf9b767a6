#include "net/internal/request_scanner.hpp"

#include <climits>

namespace poplarstile::net::internal
{
namespace
{

request_scanner& scanner_of(const http_parser* parser)
{
    return *static_cast<request_scanner*>(parser->data);
}

} // namespace

request_scanner::request_scanner()
{
    begin_request();
}

std::optional<request_size> request_scanner::scan(std::string_view bytes,
                                                  std::size_t max_body_bytes)
{
    completed_.reset();
    max_body_bytes_ = max_body_bytes;
    while (!bytes.empty() && !opaque_) {
        const auto parsed = http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
        bytes.remove_prefix(parsed);
        if (HTTP_PARSER_ERRNO(&parser_) == HPE_PAUSED) {
            opaque_ = parser_.upgrade != 0;
            begin_request();
        } else {
            opaque_ = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
        }
    }
    if (opaque_) {
        size_.head_bytes += bytes.size();
    }
    return completed_;
}

const http_parser_settings& request_scanner::callbacks()
{
    static const http_parser_settings made = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        const auto on_head = [](http_parser* parser, const char* /*at*/, std::size_t length) {
            return scanner_of(parser).add_head(length);
        };
        settings.on_url = on_head;
        settings.on_header_field = on_head;
        settings.on_header_value = on_head;
        settings.on_headers_complete = [](http_parser* parser) {
            const bool announced = parser->content_length != ULLONG_MAX;
            return scanner_of(parser).check_announced(announced ? parser->content_length : 0);
        };
        settings.on_body = [](http_parser* parser, const char* /*at*/, std::size_t length) {
            return scanner_of(parser).add_body(length);
        };
        settings.on_chunk_header = [](http_parser* parser) {
            auto& scanner = scanner_of(parser);
            scanner.size_.chunks += parser->content_length > 0 ? 1 : 0;
            return scanner.check_announced(parser->content_length);
        };
        settings.on_message_complete = [](http_parser* parser) {
            scanner_of(parser).complete_request();
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }();
    return made;
}

int request_scanner::add_head(std::size_t length)
{
    size_.head_bytes += length;
    return 0;
}

int request_scanner::add_body(std::size_t length)
{
    size_.body_bytes += length;
    return 0;
}

int request_scanner::check_announced(std::uint64_t length)
{
    body_too_long_ = length > max_body_bytes_ || size_.body_bytes > max_body_bytes_ - length;
    return body_too_long_ ? -1 : 0;
}

void request_scanner::complete_request()
{
    auto& sum = completed_ ? *completed_ : completed_.emplace();
    sum.head_bytes += size_.head_bytes;
    sum.body_bytes += size_.body_bytes;
    sum.chunks += size_.chunks;
}

void request_scanner::begin_request()
{
    http_parser_init(&parser_, HTTP_REQUEST);
    parser_.data = this;
    size_ = {};
}

} // namespace poplarstile::net::internal
