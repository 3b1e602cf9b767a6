#include "gateway/caller_request.hpp"

#include "base/json_nesting.hpp"
#include "ledger/ledger_entry.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <optional>

namespace poplarstile::gateway
{
namespace
{

using base::error;
using base::error_code;
using nlohmann::json;

constexpr std::size_t max_token_bytes = 128;
constexpr std::int64_t max_declared_run_ms = std::int64_t{1000} * 60 * 60 * 24 * 365;

/// Header values that become ids: visible ASCII without blanks, bounded.
bool is_token(std::string_view text)
{
    return !text.empty() && text.size() <= max_token_bytes &&
           std::ranges::all_of(
               text, [](unsigned char character) { return std::isgraph(character) != 0; });
}

error malformed(std::string_view place, std::string detail)
{
    return {error_code::request_malformed, std::string{place}, std::move(detail), ""};
}

base::result<std::string> token_header(const net::http_request& request, std::string_view name,
                                       bool required)
{
    const auto value = request.header(name);
    if (!value) {
        if (required) {
            return malformed(name, "the header is missing");
        }
        return std::string{};
    }
    if (!is_token(*value)) {
        return malformed(name, fmt::format("expected 1 to {} visible characters without blanks",
                                           max_token_bytes));
    }
    return std::string{*value};
}

base::result<std::string> idempotency_key(const net::http_request& request)
{
    if (request.header_count("Idempotency-Key") > 1) {
        return error{error_code::request_key_repeated, "Idempotency-Key", "", ""};
    }
    return token_header(request, "Idempotency-Key", false);
}

base::result<std::optional<base::milliseconds>> deadline_header(const net::http_request& request)
{
    const auto value = request.header("X-Deadline-Ms");
    if (!value) {
        return std::optional<base::milliseconds>{};
    }
    std::int64_t parsed = 0;
    const auto* const end = value->data() + value->size();
    const auto [stopped, code] = std::from_chars(value->data(), end, parsed);
    if (code != std::errc{} || stopped != end || parsed <= 0) {
        return malformed("X-Deadline-Ms", "expected a whole number of milliseconds above 0");
    }
    return std::optional{base::milliseconds{parsed}};
}

error job_malformed(std::string_view place, std::string detail)
{
    return {error_code::job_malformed, std::string{place}, std::move(detail), ""};
}

base::result<void> check_members(const json& body)
{
    constexpr std::array<std::string_view, 5> known{"class", "shape", "declared_run_ms",
                                                    "checkpointable", "payload"};
    for (const auto& [name, value] : body.items()) {
        if (std::ranges::find(known, name) == known.end()) {
            return job_malformed(name, "no such member");
        }
    }
    for (const auto* const name : {"class", "shape"}) {
        if (!body.contains(name) || !body[name].is_string()) {
            return job_malformed(name, "expected a text");
        }
    }
    const auto run = body.value("declared_run_ms", json(0));
    if (!run.is_number_integer() || run.get<std::int64_t>() < 0 ||
        run.get<std::int64_t>() > max_declared_run_ms) {
        return job_malformed("declared_run_ms", "expected milliseconds from 0 to one year");
    }
    if (!body.value("checkpointable", json(false)).is_boolean()) {
        return job_malformed("checkpointable", "expected true or false");
    }
    return base::success();
}

} // namespace

base::result<void> check_json(std::string_view text, std::size_t max_depth, std::string_view place)
{
    if (base::is_nested_deeper_than(text, max_depth)) {
        return error{error_code::request_too_deep, std::string{place},
                     fmt::format("nested deeper than {}", max_depth), ""};
    }
    if (!json::accept(text)) {
        return malformed(place, "not JSON");
    }
    return base::success();
}

base::result<dispatch::incoming_request> read_short_request(const net::http_request& request,
                                                            std::string_view service,
                                                            std::size_t max_json_depth)
{
    dispatch::incoming_request incoming;
    BOOST_OUTCOME_TRY(workspace, token_header(request, "X-Workspace", true));
    BOOST_OUTCOME_TRY(key, idempotency_key(request));
    BOOST_OUTCOME_TRY(request_id, token_header(request, "X-Request-Id", false));
    BOOST_OUTCOME_TRY(deadline, deadline_header(request));
    if (!request.body.empty()) {
        BOOST_OUTCOME_TRYV(check_json(request.body, max_json_depth, "body"));
    }
    incoming.workspace = std::move(workspace);
    incoming.service = service;
    incoming.idempotency_key = std::move(key);
    incoming.request_id = std::move(request_id);
    incoming.deadline = deadline;
    incoming.body = request.body;
    return incoming;
}

base::result<scheduling::job_spec> read_job_request(const net::http_request& request,
                                                    std::size_t max_json_depth)
{
    BOOST_OUTCOME_TRY(workspace, token_header(request, "X-Workspace", true));
    BOOST_OUTCOME_TRY(key, idempotency_key(request));
    if (key.empty()) {
        return error{error_code::request_key_missing, "Idempotency-Key", "", ""};
    }
    BOOST_OUTCOME_TRYV(check_json(request.body, max_json_depth, "body"));
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        return job_malformed("body", "expected an object");
    }
    BOOST_OUTCOME_TRYV(check_members(body));
    BOOST_OUTCOME_TRY(shape, scheduling::parse_shape(body["shape"].get<std::string>()));
    scheduling::job_spec spec;
    spec.id = "j-" + ledger::hash_body(workspace + "\n" + key);
    spec.workspace = workspace;
    spec.class_name = body["class"].get<std::string>();
    spec.shape = shape;
    spec.declared_run = base::milliseconds{body.value("declared_run_ms", std::int64_t{0})};
    spec.checkpointable = body.value("checkpointable", false);
    spec.body_hash = ledger::hash_body(request.body);
    if (const auto payload = body.find("payload"); payload != body.end()) {
        spec.payload = base::json_text{*payload};
    }
    return spec;
}

} // namespace poplarstile::gateway
