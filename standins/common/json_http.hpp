#pragma once

#include "net/http_message.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

/// JSON bodies over HTTP, as all stand-ins speak them.
namespace poplarstile::standins
{

using json = nlohmann::json;

/// A response with `body` as its JSON text.
[[nodiscard]] net::http_response json_response(std::uint16_t status, const json& body);

/// `{"refused":reason}` with status 409 unless another is given.
[[nodiscard]] net::http_response refusal(std::string_view reason, std::uint16_t status = 409);

/// The object in `text`; an empty text is an empty object, anything else but an object is nothing.
[[nodiscard]] std::optional<json> parse_object(std::string_view text);

} // namespace poplarstile::standins
