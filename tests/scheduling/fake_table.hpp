#pragma once

#include "table/table.hpp"

#include <map>
#include <string>
#include <vector>

/// The platform's table in memory.
namespace poplarstile::scheduling::testing
{

class fake_table
{
public:
    table::commit_result transact(const table::table_transaction& transaction)
    {
        table::commit_result result{table::commit_state::committed, 0, {}};
        for (const auto& condition : transaction.conditions) {
            if (version_of(condition.key) != condition.version) {
                result.conflicts.push_back({condition.key, version_of(condition.key)});
            }
        }
        if (!result.conflicts.empty()) {
            result.state = table::commit_state::conflict;
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

    table::row_version put(const std::string& key, nlohmann::json value)
    {
        rows[key] = {key, ++last_version_, std::move(value)};
        return last_version_;
    }

    [[nodiscard]] table::row_version version_of(const std::string& key) const
    {
        const auto found = rows.find(key);
        return found == rows.end() ? 0 : found->second.version;
    }

    [[nodiscard]] std::vector<table::table_row> scan(const std::string& prefix) const
    {
        std::vector<table::table_row> found;
        for (const auto& [key, row] : rows) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        return found;
    }

    std::map<std::string, table::table_row> rows{};

private:
    table::row_version last_version_ = 0;
};

} // namespace poplarstile::scheduling::testing
