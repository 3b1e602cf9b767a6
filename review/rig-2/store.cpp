#include "store.hpp"

#include "clock.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

namespace rig
{
namespace
{

using json = nlohmann::json;

constexpr int transaction_ms = 5;
constexpr std::size_t most_rows = 500;
constexpr std::size_t most_bytes = 700'000;

std::string to_base64(const std::string& text)
{
    static constexpr char letters[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string coded;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits = (bits << 8U) |
                   (at + byte < text.size() ? static_cast<unsigned char>(text[at + byte]) : 0U);
        }
        for (std::size_t letter = 0; letter < 4; ++letter) {
            const bool padding = at + letter > text.size();
            coded += padding ? '=' : letters[(bits >> (18U - 6U * letter)) & 63U];
        }
    }
    return coded;
}

json row_of(const std::tuple<std::string, std::string, std::string>& key, const std::string& value,
            std::uint64_t version)
{
    return {{"table", std::get<0>(key)},
            {"part", std::get<1>(key)},
            {"key", std::get<2>(key)},
            {"value", value},
            {"ver", version}};
}

std::string member(const request& asked, const char* name)
{
    const auto found = asked.query.find(name);
    return found == asked.query.end() ? std::string{} : found->second;
}

} // namespace

store::store()
{
    std::thread{[this] {
        for (;;) {
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
            expire_registrations();
        }
    }}.detach();
}

int store::listen()
{
    return serve(0, [this](const request& asked) { return answer(asked); });
}

void store::write(const row_key& key, const std::string& value, bool removed, std::uint64_t version)
{
    rows_[key] = {value, version, removed};
}

void store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    write({table, "", key}, to_base64(value), false, ++version_);
    changed_.notify_all();
}

void store::beat(const std::string& worker, const std::string& entry, int interval_ms)
{
    bool news = false;
    {
        const std::lock_guard lock{mutex_};
        auto& known = registrations_[worker];
        news = known.entry != entry;
        known = {entry, now_ms() + 3 * interval_ms};
    }
    if (news) {
        put("servers", worker, entry);
    }
}

std::int64_t store::last_told(const std::string& worker)
{
    const std::lock_guard lock{mutex_};
    const auto told = told_.find(worker);
    const auto row = rows_.find({"servers", "", worker});
    const bool newest =
        told != told_.end() && row != rows_.end() && row->second.version == told->second.first;
    return newest ? told->second.second : 0;
}

void store::expire_registrations()
{
    const std::lock_guard lock{mutex_};
    std::erase_if(registrations_, [this](const auto& entry) {
        const bool gone = entry.second.expires_ms < now_ms();
        if (gone) {
            write({"servers", "", entry.first}, "", true, ++version_);
            changed_.notify_all();
        }
        return gone;
    });
}

response store::answer(const request& asked)
{
    if (asked.path == "/-/rows-tx") {
        return transact(asked);
    }
    if (asked.path == "/-/rows-get") {
        return range(asked);
    }
    if (asked.path == "/-/rows-feed") {
        return feed(asked);
    }
    if (asked.path == "/rig/beat") {
        beat(member(asked, "worker"), asked.body, std::stoi(member(asked, "interval_ms")));
        return {200, "{}"};
    }
    return {400, "{}"};
}

response store::transact(const request& asked)
{
    const auto body = json::parse(asked.body, nullptr, false);
    if (!body.is_object()) {
        return {400, "{}"};
    }
    const auto key_of = [](const json& row) {
        return row_key{row.value("table", ""), row.value("part", ""), row.value("key", "")};
    };
    std::this_thread::sleep_for(std::chrono::milliseconds{transaction_ms});
    const std::lock_guard lock{mutex_};
    json current = json::array();
    bool holds = true;
    for (const auto& row : body.value("expected", json::array())) {
        const auto found = rows_.find(key_of(row));
        const bool there = found != rows_.end() && !found->second.removed;
        const auto version = there ? found->second.version : 0;
        holds = holds && version == row.value("ver", std::uint64_t{0});
        current.push_back(
            row_of(key_of(row), there ? found->second.value : std::string{}, version));
    }
    json answered{{"now_ms", now_ms()}};
    if (!holds) {
        answered["ver"] = version_;
        answered["rows"] = std::move(current);
        return {412, answered.dump()};
    }
    const auto protected_table = [&](const json& row) {
        const auto table = row.value("table", "");
        return table == "op" || table == "servers";
    };
    const auto puts = body.value("put", json::array());
    const auto removals = body.value("remove", json::array());
    if (std::ranges::any_of(puts, protected_table) ||
        std::ranges::any_of(removals, protected_table)) {
        return {403, "{}"};
    }
    ++version_;
    for (const auto& row : puts) {
        write(key_of(row), row.value("value", ""), false, version_);
    }
    for (const auto& row : removals) {
        write(key_of(row), "", true, version_);
    }
    changed_.notify_all();
    answered["ver"] = version_;
    return {200, answered.dump()};
}

response store::range(const request& asked)
{
    const auto table = member(asked, "table");
    const auto part = member(asked, "part");
    const auto from = member(asked, "from");
    const auto target = member(asked, "target");
    const auto limit_text = member(asked, "limit");
    const auto limit = limit_text.empty() ? most_rows : std::min(most_rows, std::stoul(limit_text));
    const std::lock_guard lock{mutex_};
    json rows = json::array();
    bool truncated = false;
    std::size_t bytes = 0;
    for (auto next = rows_.lower_bound({table, part, from}); next != rows_.end(); ++next) {
        const auto& [key, row] = *next;
        const bool inside = std::get<0>(key) == table && std::get<1>(key) == part &&
                            (target.empty() || std::get<2>(key) < target);
        if (!inside) {
            break;
        }
        if (row.removed) {
            continue;
        }
        if (rows.size() >= limit || bytes > most_bytes) {
            truncated = true;
            break;
        }
        bytes += row.value.size();
        rows.push_back(row_of(key, row.value, row.version));
    }
    const json answered{
        {"rows", rows}, {"truncated", truncated}, {"ver", version_}, {"now_ms", now_ms()}};
    return {200, answered.dump()};
}

response store::feed(const request& asked)
{
    const auto table = member(asked, "table");
    const auto after = std::stoull(member(asked, "after"));
    const auto wait = std::chrono::milliseconds{std::stoul(member(asked, "wait_ms"))};
    const auto until = std::chrono::steady_clock::now() + wait;
    std::unique_lock lock{mutex_};
    std::map<std::uint64_t, std::vector<json>> news;
    for (;;) {
        for (auto next = rows_.lower_bound({table, "", ""});
             next != rows_.end() && std::get<0>(next->first) == table; ++next) {
            if (next->second.version > after) {
                auto row = row_of(next->first, next->second.value, next->second.version);
                if (next->second.removed) {
                    row["removed"] = true;
                }
                news[next->second.version].push_back(std::move(row));
            }
        }
        if (!news.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
            break;
        }
    }
    json rows = json::array();
    for (auto& [version, changed] : news) {
        for (auto& row : changed) {
            if (table == "servers") {
                told_[row.value("key", "")] = {version, now_ms()};
            }
            rows.push_back(std::move(row));
        }
    }
    const json answered{{"rows", rows}, {"ver", version_}, {"now_ms", now_ms()}};
    return {200, answered.dump()};
}

} // namespace rig
