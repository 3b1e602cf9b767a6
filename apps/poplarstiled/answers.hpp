#pragma once

#include "base/result.hpp"
#include "dispatch/messages.hpp"
#include "net/http_message.hpp"

#include <nlohmann/json.hpp>

#include <string_view>

/// Answers of the HTTP interface (docs/REFERENCE.md).
namespace poplarstile::daemon
{

/// The answer to a short request.
[[nodiscard]] net::http_response answer_response(const dispatch::caller_answer& answer,
                                                 std::string_view request_id);

/// An error answer with an outcome; `retry_after` of 0 is left out.
[[nodiscard]] net::http_response
error_response(dispatch::outcome outcome, const base::error& failure,
               base::milliseconds retry_after = base::milliseconds{0});

[[nodiscard]] net::http_response json_response(std::uint16_t status, const nlohmann::json& body);

/// HTTP status that goes with an outcome and, for some, with the error's code.
[[nodiscard]] std::uint16_t status_of(dispatch::outcome outcome, base::error_code code);

/// The members `code`, `name`, `place`, `detail` and `remedy` of an error.
[[nodiscard]] nlohmann::json error_body(const base::error& failure);

} // namespace poplarstile::daemon
