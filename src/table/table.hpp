#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

/// Values of the platform's transactional table; see docs/ASSUMPTIONS.md.
namespace poplarstile::table
{

/// Number of the transaction that last wrote a row; 0 stands for a row that does not exist.
using row_version = std::uint64_t;

struct table_row {
    std::string key{};
    row_version version = 0;
    nlohmann::json value{};
};

/// Holds when the row has exactly this version at the time of the transaction.
struct table_condition {
    std::string key{};
    row_version version = 0;
};

/// A null value deletes the row.
struct table_write {
    std::string key{};
    nlohmann::json value{};
};

/// Applies whole or not at all. `operation` names the attempt; writers store it in the rows that
/// matter, so that a read tells whether a transaction with a lost answer took effect.
struct table_transaction {
    std::string operation{};
    std::vector<table_condition> conditions{};
    std::vector<table_write> writes{};
};

/// How a transaction ended, as far as this side knows.
enum class commit_state {
    committed,
    conflict,
    /// Certainly not applied: nothing was sent or the service refused.
    not_applied,
    /// May or may not have been applied; a read of the rows settles it.
    unknown,
};

struct commit_result {
    commit_state state = commit_state::not_applied;
    row_version version = 0;
    /// Rows whose condition failed, with the versions found.
    std::vector<table_condition> conflicts{};
};

} // namespace poplarstile::table
