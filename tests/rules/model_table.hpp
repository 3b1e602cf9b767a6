#pragma once

#include "table/table.hpp"

#include <map>
#include <string>
#include <vector>

namespace poplarstile::rules
{

/// The platform's table as documented: conditions on row versions, whole transactions.
class model_table
{
public:
    [[nodiscard]] std::vector<table::table_row> scan(const std::string& prefix) const
    {
        std::vector<table::table_row> found;
        for (const auto& [key, row] : rows_) {
            if (key.starts_with(prefix)) {
                found.push_back(row);
            }
        }
        return found;
    }

    /// True when the transaction committed.
    bool transact(const table::table_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto found = rows_.find(condition.key);
            const auto version = found == rows_.end() ? 0 : found->second.version;
            if (version != condition.version) {
                return false;
            }
        }
        ++version_;
        for (const auto& write : transaction.writes) {
            if (write.value.is_null()) {
                rows_.erase(write.key);
            } else {
                // Values cross the wire as text.
                rows_[write.key] = {write.key, version_, nlohmann::json::parse(write.value.dump())};
            }
        }
        return true;
    }

private:
    std::map<std::string, table::table_row> rows_;
    table::row_version version_ = 0;
};

} // namespace poplarstile::rules
