#include "standins/platform_standin/table_store.hpp"

#include <algorithm>
#include <iterator>

namespace poplarstile::standins::platform_standin
{

using poplarstile::table::commit_state;

std::optional<table_row> table_store::read(std::string_view key) const
{
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return std::nullopt;
    }
    return found->second;
}

table_page table_store::scan(std::string_view prefix, std::string_view after,
                             std::size_t limit) const
{
    table_page page;
    auto row = after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    while (row != rows_.end() && row->first.starts_with(prefix)) {
        if (page.rows.size() == limit) {
            page.more = true;
            break;
        }
        page.rows.push_back(row->second);
        ++row;
    }
    return page;
}

row_version table_store::version_of(std::string_view key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? 0 : found->second.version;
}

commit_result table_store::transact(const table_transaction& transaction)
{
    commit_result result;
    for (const auto& condition : transaction.conditions) {
        const auto found = version_of(condition.key);
        if (found != condition.version) {
            result.conflicts.push_back({condition.key, found});
        }
    }
    if (!result.conflicts.empty()) {
        result.state = commit_state::conflict;
        return result;
    }
    ++last_version_;
    for (const auto& write : transaction.writes) {
        if (write.value.is_null()) {
            rows_.erase(write.key);
        } else {
            rows_[write.key] = {write.key, last_version_, write.value};
        }
    }
    result.state = commit_state::committed;
    result.version = last_version_;
    return result;
}

} // namespace poplarstile::standins::platform_standin
