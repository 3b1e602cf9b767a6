#include "standins/site_standin/store_wire.hpp"

#include "platform/wire.hpp"
#include "standins/common/json_http.hpp"

#include <absl/strings/escaping.h>

#include <charconv>

namespace poplarstile::standins::site_standin
{
namespace
{

namespace wire = platform::wire;
using store::call_outcome;

constexpr std::uint32_t most_rows = 500;

store::row_id decode_id(const json& object)
{
    return {object.at(wire::table).get<std::string>(), object.at(wire::part).get<std::string>(),
            object.at(wire::key).get<std::string>()};
}

json encode_row(const store::row& row)
{
    return {{wire::table, row.id.table},
            {wire::part, row.id.part},
            {wire::key, row.id.key},
            {wire::value, absl::Base64Escape(row.value)},
            {wire::version, row.version}};
}

std::uint64_t number_of(const net::http_request& request, std::string_view name)
{
    const auto text = request.query_value(name).value_or("");
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::optional<net::http_response> encode_failure(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::refused:
        return json_response(503, json::object());
    case call_outcome::expired:
        return json_response(410, json::object());
    default:
        return std::nullopt;
    }
}

} // namespace

std::optional<store::transaction> decode_transaction(const std::string& body)
{
    try {
        const auto document = json::parse(body);
        store::transaction made;
        for (const auto& entry : document.at(wire::expected)) {
            made.expected.push_back(
                {decode_id(entry), entry.at(wire::version).get<std::uint64_t>()});
        }
        for (const auto& entry : document.at(wire::put)) {
            std::string value;
            if (!absl::Base64Unescape(entry.at(wire::value).get<std::string>(), &value)) {
                return std::nullopt;
            }
            made.puts.push_back({decode_id(entry), std::move(value)});
        }
        for (const auto& entry : document.at(wire::remove)) {
            made.removes.push_back(decode_id(entry));
        }
        return made;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

store::read_range decode_range(const net::http_request& request)
{
    store::read_range range;
    range.table = request.query_value(wire::table).value_or("");
    range.part = request.query_value(wire::part).value_or("");
    range.from = request.query_value("from").value_or("");
    range.to = request.query_value("target").value_or("");
    const auto limit = static_cast<std::uint32_t>(number_of(request, "limit"));
    range.limit = limit == 0 ? most_rows : std::min(limit, most_rows);
    return range;
}

store::feed_request decode_feed_request(const net::http_request& request)
{
    return {request.query_value(wire::table).value_or(""), number_of(request, "after"),
            base::milliseconds{static_cast<std::int64_t>(number_of(request, wire::wait))}};
}

std::optional<net::http_response> encode_reply(const store::commit_reply& reply)
{
    if (reply.outcome != call_outcome::done && reply.outcome != call_outcome::conflict) {
        return encode_failure(reply.outcome);
    }
    json rows = json::array();
    for (const auto& row : reply.current) {
        rows.push_back(encode_row(row));
    }
    const bool applied = reply.outcome == call_outcome::done;
    return json_response(applied ? 200 : 412,
                         {{wire::rows, std::move(rows)},
                          {wire::version, reply.version},
                          {wire::store_clock, base::to_stored_ms(reply.store_now)}});
}

std::optional<net::http_response> encode_reply(const store::read_reply& reply)
{
    if (reply.outcome != call_outcome::done) {
        return encode_failure(reply.outcome);
    }
    json rows = json::array();
    for (const auto& row : reply.rows) {
        rows.push_back(encode_row(row));
    }
    return json_response(200, {{wire::rows, std::move(rows)},
                               {wire::truncated, reply.truncated},
                               {wire::version, reply.version},
                               {wire::store_clock, base::to_stored_ms(reply.store_now)}});
}

std::optional<net::http_response> encode_reply(const store::feed_reply& reply)
{
    if (reply.outcome != call_outcome::done) {
        return encode_failure(reply.outcome);
    }
    json rows = json::array();
    for (const auto& changed : reply.rows) {
        auto row = encode_row(changed.current);
        if (changed.removed) {
            row[wire::removed] = true;
        }
        rows.push_back(std::move(row));
    }
    return json_response(200, {{wire::rows, std::move(rows)},
                               {wire::version, reply.version},
                               {wire::store_clock, base::to_stored_ms(reply.store_now)}});
}

} // namespace poplarstile::standins::site_standin
