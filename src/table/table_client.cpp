#include "table/table_client.hpp"

#include "base/json_member.hpp"

#include <fmt/format.h>

#include <utility>

namespace poplarstile::table
{
namespace
{

using nlohmann::json;

constexpr std::size_t scan_page_rows = 500;

base::error unreachable(const net::http_reply& reply, std::string_view place)
{
    const auto detail = reply.outcome == net::delivery::answered
                            ? fmt::format("status {}", reply.status)
                            : reply.failure;
    return {base::error_code::platform_unreachable, std::string{place}, detail, ""};
}

base::error invalid_answer(std::string_view place)
{
    return {base::error_code::platform_answer_invalid, std::string{place}, "", ""};
}

std::optional<table_row> row_of(const json& value)
{
    if (!value.is_object() || !value.contains("key") || !value.contains("version") ||
        !value["key"].is_string() || !value["version"].is_number_unsigned()) {
        return std::nullopt;
    }
    return table_row{value["key"].get<std::string>(), value["version"].get<row_version>(),
                     value.value("value", json{})};
}

base::result<std::optional<table_row>> read_answer(const net::http_reply& reply,
                                                   std::string_view key)
{
    if (reply.outcome == net::delivery::answered && reply.status == 404) {
        return std::optional<table_row>{};
    }
    if (!reply.ok()) {
        return unreachable(reply, key);
    }
    const auto row = row_of(json::parse(reply.body, nullptr, false));
    if (!row || row->key != key) {
        return invalid_answer(key);
    }
    return row;
}

/// Entries without a version are left out: version 0 would say that the row is gone.
std::vector<table_condition> conflicts_of(const json& answer)
{
    std::vector<table_condition> conflicts;
    for (const auto& entry : answer.value("conflicts", json::array())) {
        const bool complete =
            entry.is_object() && entry.contains("version") && entry["version"].is_number_unsigned();
        if (complete) {
            conflicts.push_back({base::member_or(entry, "key", std::string{}),
                                 entry["version"].get<row_version>()});
        }
    }
    return conflicts;
}

json transaction_body(const table_transaction& transaction)
{
    json body{{"operation", transaction.operation},
              {"conditions", json::array()},
              {"writes", json::array()}};
    for (const auto& condition : transaction.conditions) {
        body["conditions"].push_back({{"key", condition.key}, {"version", condition.version}});
    }
    for (const auto& write : transaction.writes) {
        body["writes"].push_back({{"key", write.key}, {"value", write.value}});
    }
    return body;
}

} // namespace

commit_result read_commit_answer(const net::http_reply& reply)
{
    if (reply.outcome == net::delivery::not_sent) {
        return {.state = commit_state::not_applied};
    }
    if (reply.outcome == net::delivery::lost) {
        return {.state = commit_state::unknown};
    }
    const auto answer = json::parse(reply.body, nullptr, false);
    if (reply.status == 409 && answer.is_object()) {
        return {.state = commit_state::conflict, .version = 0, .conflicts = conflicts_of(answer)};
    }
    const auto version = base::member_or(answer, "version", row_version{0});
    if (reply.status == 200 && base::member_or(answer, "committed", false) && version != 0) {
        return {.state = commit_state::committed, .version = version};
    }
    const bool refused = reply.status == 429 || reply.status == 503;
    return {.state = refused ? commit_state::not_applied : commit_state::unknown};
}

base::result<std::vector<listed_vm>> read_vm_list(const net::http_reply& reply)
{
    if (!reply.ok()) {
        return unreachable(reply, "vms");
    }
    const auto answer = json::parse(reply.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("vms") || !answer["vms"].is_array()) {
        return invalid_answer("vms");
    }
    std::vector<listed_vm> listed;
    for (const auto& entry : answer["vms"]) {
        if (!entry.is_object()) {
            return invalid_answer("vms");
        }
        const auto text = [&entry](const char* name) {
            return base::member_or(entry, name, std::string{});
        };
        listed.push_back({text("id"), text("failure_domain"), text("region"), text("address"),
                          text("state") == "leaving"});
    }
    return listed;
}

table_client::table_client(net::http_client& client, std::string_view address,
                           base::milliseconds read_timeout, base::milliseconds write_timeout)
    : client_{client}, base_url_{fmt::format("http://{}", address)}, read_timeout_{read_timeout},
      write_timeout_{write_timeout}
{
}

namespace
{

/// The account of a row's bytes.
std::string_view purpose_of(std::string_view key)
{
    if (key.starts_with("lease/") || key.starts_with("heartbeat/")) {
        return "scheduler_lease";
    }
    return key.starts_with("rules/") ? "rules" : "table";
}

} // namespace

net::http_call table_client::get(std::string_view path) const
{
    return {.method = "GET", .url = base_url_ + std::string{path}, .timeout = read_timeout_};
}

void table_client::read(std::string_view key, row_handler on_row)
{
    ++counters_.reads;
    auto call = get(fmt::format("/table/row?key={}", net::url_encode(key)));
    call.purpose = purpose_of(key);
    client_.send(std::move(call), [this, key = std::string{key},
                                   on_row = std::move(on_row)](const net::http_reply& reply) {
        auto row = read_answer(reply, key);
        counters_.failures += row.has_value() ? 0 : 1;
        on_row(std::move(row));
    });
}

void table_client::scan(std::string_view prefix, rows_handler on_rows)
{
    scan_after(std::string{prefix}, {}, {}, std::move(on_rows));
}

void table_client::scan_after(std::string prefix, const std::string& after,
                              std::vector<table_row> found, rows_handler on_rows)
{
    ++counters_.reads;
    auto call = get(fmt::format("/table/scan?prefix={}&after={}&limit={}", net::url_encode(prefix),
                                net::url_encode(after), scan_page_rows));
    call.max_response_bytes *= 4;
    call.purpose = purpose_of(prefix);
    client_.send(std::move(call), [this, prefix = std::move(prefix), found = std::move(found),
                                   on_rows = std::move(on_rows)](const net::http_reply& reply) {
        auto rows = found;
        const auto answer = json::parse(reply.ok() ? reply.body : "", nullptr, false);
        if (!answer.is_object() || !answer.contains("rows") || !answer["rows"].is_array()) {
            ++counters_.failures;
            on_rows(reply.ok() ? invalid_answer(prefix) : unreachable(reply, prefix));
            return;
        }
        for (const auto& entry : answer["rows"]) {
            auto row = row_of(entry);
            if (!row) {
                ++counters_.failures;
                on_rows(invalid_answer(prefix));
                return;
            }
            rows.push_back(std::move(*row));
        }
        if (base::member_or(answer, "more", false) && !rows.empty()) {
            const auto last = rows.back().key;
            scan_after(prefix, last, std::move(rows), on_rows);
            return;
        }
        on_rows(std::move(rows));
    });
}

void table_client::transact(const table_transaction& transaction, commit_handler on_commit)
{
    ++counters_.transactions;
    net::http_call call{.method = "POST",
                        .url = base_url_ + "/table/transact",
                        .headers = {{"Content-Type", "application/json"}},
                        .body = transaction_body(transaction).dump(),
                        .timeout = write_timeout_,
                        .once = true};
    if (!transaction.writes.empty()) {
        call.purpose = purpose_of(transaction.writes.front().key);
    }
    client_.send(std::move(call),
                 [this, on_commit = std::move(on_commit)](const net::http_reply& reply) {
                     auto result = read_commit_answer(reply);
                     const bool failed = result.state == commit_state::not_applied ||
                                         result.state == commit_state::unknown;
                     counters_.failures += failed ? 1 : 0;
                     on_commit(std::move(result));
                 });
}

void table_client::list_vms(vms_handler on_vms)
{
    ++counters_.reads;
    auto call = get("/vms");
    call.purpose = "vm_list";
    client_.send(std::move(call), [on_vms = std::move(on_vms)](const net::http_reply& reply) {
        on_vms(read_vm_list(reply));
    });
}

void table_client::put_object(std::string_view name, std::string bytes, done_handler on_done)
{
    ++counters_.transactions;
    net::http_call call{.method = "PUT",
                        .url = fmt::format("{}/objects/{}", base_url_, net::url_encode(name)),
                        .body = std::move(bytes),
                        .timeout = write_timeout_};
    client_.send(std::move(call), [on_done = std::move(on_done),
                                   name = std::string{name}](const net::http_reply& reply) {
        if (reply.ok()) {
            on_done(base::success());
            return;
        }
        on_done(unreachable(reply, name));
    });
}

} // namespace poplarstile::table
