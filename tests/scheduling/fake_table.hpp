#pragma once

#include "platform/table.hpp"

#include <map>
#include <string>
#include <vector>

/// The platform's table in memory.
namespace poplarstile::scheduling::testing
{

class fake_table
{
public:
    platform::commit_result transact(const platform::table_transaction& transaction)
    {
        platform::commit_result result{platform::commit_state::committed, 0, {}};
        for (const auto& condition : transaction.conditions) {
            if (version_of(condition.key) != condition.version) {
                result.conflicts.push_back({condition.key, version_of(condition.key)});
            }
        }
        if (!result.conflicts.empty()) {
            result.state = platform::commit_state::conflict;
            return result;
        }
        result.version = ++last_version_;
        for (const auto& write : transaction.writes) {
            if (write.value.is_null()) {
                rows.erase(write.key);
            } else {
                rows[write.key] = {write.key, result.version, write.value};
            }
        }
        return result;
    }

    platform::row_version put(const std::string& key, nlohmann::json value)
    {
        rows[key] = {key, ++last_version_, std::move(value)};
        return last_version_;
    }

    [[nodiscard]] platform::row_version version_of(const std::string& key) const
    {
        const auto found = rows.find(key);
        return found == rows.end() ? 0 : found->second.version;
    }

    [[nodiscard]] std::vector<platform::table_row> scan(const std::string& prefix) const
    {
        std::vector<platform::table_row> found;
        for (const auto& [key, row] : rows) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        return found;
    }

    std::map<std::string, platform::table_row> rows{};

private:
    platform::row_version last_version_ = 0;
};

} // namespace poplarstile::scheduling::testing
