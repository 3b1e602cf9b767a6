#pragma once

#include "base/time.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

/// The port to a transactional store of rows, and what is built on it: commits under a lease.
namespace poplarstile::store
{

/// Number of the transaction that last wrote a row; 0 for a row that does not exist.
using row_version = std::uint64_t;

struct row_id {
    std::string table{};
    /// Rows of one part can stand in one transaction.
    std::string part{};
    std::string key{};

    bool operator==(const row_id&) const = default;

    [[nodiscard]] friend bool operator<(const row_id& left, const row_id& right)
    {
        return std::tie(left.table, left.part, left.key) <
               std::tie(right.table, right.part, right.key);
    }
};

struct row {
    row_id id{};
    std::string value{};
    row_version version = 0;
};

/// Holds when the row has this version at the moment of the transaction.
struct expectation {
    row_id id{};
    row_version version = 0;
};

struct row_put {
    row_id id{};
    std::string value{};
};

/// Applies whole or not at all.
struct transaction {
    std::vector<expectation> expected{};
    std::vector<row_put> puts{};
    std::vector<row_id> removes{};

    [[nodiscard]] std::size_t entries() const
    {
        return expected.size() + puts.size() + removes.size();
    }
};

/// Most entries of one transaction.
constexpr std::size_t max_transaction_entries = 100;

/// How a call to the store ended, as far as this side knows.
enum class call_outcome : std::uint8_t {
    done,
    /// An expectation did not hold; nothing was applied.
    conflict,
    /// Certainly not applied: nothing was sent, or the store refused.
    refused,
    /// May have been applied, or may be applied seconds later if its expectations still hold.
    unknown,
    /// The history asked for is gone; the rows have to be read again.
    expired,
};

struct commit_reply {
    call_outcome outcome = call_outcome::unknown;
    row_version version = 0;
    /// On a conflict, the expected rows as they are; rows that don't exist have version 0.
    std::vector<row> current{};
    /// The store's clock when it replied; empty when the reply doesn't tell it.
    std::optional<base::store_time> store_now{};
};

/// Rows of a table and part from `from` (included) to `to` (excluded); empty bounds are open.
struct read_range {
    std::string table{};
    std::string part{};
    std::string from{};
    std::string to{};
    std::uint32_t limit = 0;
};

struct read_reply {
    /// `done`, `refused` or `unknown`, which mean the same for a read: no answer.
    call_outcome outcome = call_outcome::unknown;
    std::vector<row> rows{};
    /// More rows follow the last one.
    bool truncated = false;
    /// Newest version of the store at the moment of the read.
    row_version version = 0;
    std::optional<base::store_time> store_now{};
};

struct changed_row {
    row current{};
    bool removed = false;
};

struct feed_reply {
    /// `done`, `expired`, `refused` or `unknown`.
    call_outcome outcome = call_outcome::unknown;
    std::vector<changed_row> rows{};
    /// Where to go on.
    row_version version = 0;
    std::optional<base::store_time> store_now{};
};

struct feed_request {
    std::string table{};
    row_version after = 0;
    /// How long the store may wait for a change.
    base::milliseconds wait{0};
};

/// A store of rows. Handlers are called once, later, on the thread of the caller.
struct row_store {
    std::function<void(transaction, std::function<void(commit_reply)>)> commit{};
    std::function<void(read_range, std::function<void(read_reply)>)> read{};
    std::function<void(feed_request, std::function<void(feed_reply)>)> follow{};
    /// How long no call to a part has been served on any way; nothing while calls are served.
    std::function<std::optional<base::milliseconds>(const std::string& part)> away{};
};

} // namespace poplarstile::store
