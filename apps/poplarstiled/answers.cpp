#include "answers.hpp"

#include <string>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error_code;
using dispatch::outcome;
using nlohmann::json;

std::uint16_t rejected_status(error_code code)
{
    switch (code) {
    case error_code::request_malformed:
    case error_code::request_key_missing:
    case error_code::request_key_repeated:
    case error_code::request_too_deep:
    case error_code::job_malformed:
        return 400;
    case error_code::request_unknown_service:
    case error_code::request_unknown_workspace:
    case error_code::request_unknown_path:
    case error_code::job_unknown:
        return 404;
    case error_code::request_key_reused:
        return 409;
    case error_code::request_too_large:
        return 413;
    case error_code::operator_key_invalid:
        return 401;
    default:
        return 422;
    }
}

void add_retry_after(net::http_response& response, json& body, base::milliseconds retry_after)
{
    if (retry_after.count() <= 0) {
        return;
    }
    body["retry_after_ms"] = retry_after.count();
    const auto whole_seconds = (retry_after.count() + 999) / 1000;
    response.headers.push_back({"Retry-After", std::to_string(whole_seconds)});
}

} // namespace

std::uint16_t status_of(outcome result, error_code code)
{
    switch (result) {
    case outcome::completed:
        return 200;
    case outcome::failed:
        return 500;
    case outcome::rejected:
        return rejected_status(code);
    case outcome::not_run:
        return code == error_code::request_rate_limited ||
                       code == error_code::request_too_many_connections
                   ? 429
                   : 503;
    case outcome::unknown:
        return 504;
    }
    return 500;
}

json error_body(const base::error& failure)
{
    const auto& entry = base::entry_of(failure.code);
    return {{"code", static_cast<unsigned>(failure.code)},
            {"name", entry.name},
            {"place", failure.place},
            {"detail", failure.detail.empty() ? entry.meaning : std::string_view{failure.detail}},
            {"remedy", base::remedy_of(failure)}};
}

net::http_response json_response(std::uint16_t status, const json& body)
{
    return {.status = status, .body = body.dump()};
}

net::http_response error_response(outcome result, const base::error& failure,
                                  base::milliseconds retry_after)
{
    net::http_response response;
    auto body = error_body(failure);
    body["outcome"] = dispatch::to_string(result);
    add_retry_after(response, body, retry_after);
    response.status = status_of(result, failure.code);
    response.body = body.dump();
    return response;
}

net::http_response answer_response(const dispatch::caller_answer& answer,
                                   std::string_view request_id)
{
    net::http_response response;
    if (answer.failure) {
        response = error_response(answer.result, *answer.failure, answer.retry_after);
    }
    // The worker's body is JSON already and is spliced in as it came.
    const json head{{"outcome", dispatch::to_string(answer.result)},
                    {"request", request_id},
                    {"worker", answer.worker}};
    auto text = answer.failure ? response.body : head.dump();
    if (!answer.body.empty()) {
        text.pop_back();
        text += ",\"body\":" + answer.body + "}";
    }
    response.status = status_of(answer.result, answer.failure ? answer.failure->code
                                                              : error_code::request_malformed);
    response.headers.push_back({"X-Request-Id", std::string{request_id}});
    response.body = std::move(text);
    return response;
}

} // namespace poplarstile::daemon
