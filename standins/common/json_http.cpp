#include "standins/common/json_http.hpp"

namespace poplarstile::standins
{

net::http_response json_response(std::uint16_t status, const json& body)
{
    return {.status = status,
            .headers = {},
            .body = body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

net::http_response refusal(std::string_view reason, std::uint16_t status)
{
    return json_response(status, {{"refused", reason}});
}

std::optional<json> parse_object(std::string_view text)
{
    if (text.empty()) {
        return json::object();
    }
    auto parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

} // namespace poplarstile::standins
