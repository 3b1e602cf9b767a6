#pragma once

#include "base/result.hpp"
#include "dispatch/messages.hpp"
#include "net/http_message.hpp"
#include "scheduling/job.hpp"

#include <cstddef>
#include <string_view>

/// Callers' HTTP requests as typed values; everything from outside is checked here.
namespace poplarstile::gateway
{

/// Reads `POST /v1/requests/{service}`. Errors: `request_malformed`, `request_key_repeated`,
/// `request_too_deep`. The request's number is left at 0.
[[nodiscard]] base::result<dispatch::incoming_request>
read_short_request(const net::http_request& request, std::string_view service,
                   std::size_t max_json_depth);

/// Reads `POST /v1/jobs`. The id is derived from workspace and Idempotency-Key, so that the same
/// key always names the same job. Errors: `job_malformed`, `request_key_missing`,
/// `request_key_repeated`, `request_too_deep`, `request_malformed`.
[[nodiscard]] base::result<scheduling::job_spec> read_job_request(const net::http_request& request,
                                                                  std::size_t max_json_depth);

/// Checks that a text is JSON and nested at most `max_depth` deep, without building it.
/// `place` names the text in the error.
[[nodiscard]] base::result<void> check_json(std::string_view text, std::size_t max_depth,
                                            std::string_view place);

} // namespace poplarstile::gateway
