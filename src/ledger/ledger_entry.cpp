#include "ledger/ledger_entry.hpp"

#include "net/http_message.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>

namespace poplarstile::ledger
{
namespace
{

using nlohmann::json;

constexpr std::array<std::string_view, 3> state_names{"dispatched", "settled", "fenced"};

std::optional<entry_state> state_named(std::string_view name)
{
    for (std::size_t index = 0; index < state_names.size(); ++index) {
        if (state_names.at(index) == name) {
            return static_cast<entry_state>(index);
        }
    }
    return std::nullopt;
}

std::string text_of(const json& value, const char* name)
{
    return base::member_or(value, name, std::string{});
}

} // namespace

std::string ledger_key(std::string_view workspace, std::string_view service,
                       std::string_view idempotency_key)
{
    return fmt::format("ledger/{}/{}/{}", net::url_encode(workspace), net::url_encode(service),
                       net::url_encode(idempotency_key));
}

std::string hash_body(std::string_view body)
{
    const auto hash = XXH3_128bits(body.data(), body.size());
    return fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
}

json to_json(const ledger_entry& entry)
{
    return {{"state", state_names.at(static_cast<std::size_t>(entry.state))},
            {"request", entry.request},
            {"attempt", entry.attempt},
            {"worker", entry.worker},
            {"worker_address", entry.worker_address},
            {"body_hash", entry.body_hash},
            {"operation", entry.operation},
            {"succeeded", entry.succeeded},
            {"body", entry.body}};
}

base::result<ledger_entry> read_entry(const table::table_row& row)
{
    const auto state =
        row.value.is_object() ? state_named(text_of(row.value, "state")) : std::nullopt;
    if (!state) {
        return base::error{base::error_code::platform_answer_invalid, row.key, "not a ledger entry",
                           ""};
    }
    return ledger_entry{*state,
                        text_of(row.value, "request"),
                        text_of(row.value, "attempt"),
                        text_of(row.value, "worker"),
                        text_of(row.value, "worker_address"),
                        text_of(row.value, "body_hash"),
                        text_of(row.value, "operation"),
                        row.value.value("succeeded", false),
                        text_of(row.value, "body")};
}

table::table_transaction write_entry(std::string_view key, table::row_version seen_version,
                                     const ledger_entry& entry)
{
    return {
        entry.operation, {{std::string{key}, seen_version}}, {{std::string{key}, to_json(entry)}}};
}

} // namespace poplarstile::ledger
