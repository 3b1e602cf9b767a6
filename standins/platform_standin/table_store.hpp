#pragma once

#include "table/table.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The platform's transactional table, in memory.
namespace poplarstile::standins::platform_standin
{

using poplarstile::table::commit_result;
using poplarstile::table::row_version;
using poplarstile::table::table_row;
using poplarstile::table::table_transaction;

/// A page of rows in key order.
struct table_page {
    std::vector<table_row> rows{};
    /// True when rows with the prefix follow the last one.
    bool more = false;
};

/// Rows and their versions. Not synchronized: its owner applies one operation at a time, which is
/// what makes the table linearizable.
class table_store
{
public:
    [[nodiscard]] std::optional<table_row> read(std::string_view key) const;

    /// At most `limit` rows whose key starts with `prefix` and comes strictly after `after`.
    [[nodiscard]] table_page scan(std::string_view prefix, std::string_view after,
                                  std::size_t limit) const;

    /// Applies all writes when all conditions hold, else nothing; reports `committed` or
    /// `conflict`.
    [[nodiscard]] commit_result transact(const table_transaction& transaction);

private:
    [[nodiscard]] row_version version_of(std::string_view key) const;

    std::map<std::string, table_row, std::less<>> rows_;
    row_version last_version_ = 0;
};

} // namespace poplarstile::standins::platform_standin
