#pragma once

#include "base/result.hpp"
#include "table/table.hpp"

#include <optional>
#include <string>
#include <string_view>

/// The ledger of work that is not idempotent: one table row for each key of a workspace and
/// service, written before the first byte goes to a worker.
namespace poplarstile::ledger
{

enum class entry_state {
    /// An attempt may have been sent. Only its worker can tell what became of it.
    dispatched,
    /// The attempt ran; the row holds the answer.
    settled,
    /// The attempt is fenced at its worker: it never ran and never will. A new one may be made.
    fenced,
};

/// A row of the ledger.
struct ledger_entry {
    entry_state state = entry_state::dispatched;
    std::string request{};
    std::string attempt{};
    std::string worker{};
    /// `IP:port` of the worker, so that any VM can ask it.
    std::string worker_address{};
    /// Hash of the caller's body; the same key with another body is refused.
    std::string body_hash{};
    /// Transaction that wrote the row; settles a commit whose answer was lost.
    std::string operation{};
    /// For settled entries: true when the attempt ran to success.
    bool succeeded = false;
    /// For settled entries: the worker's answer, JSON text.
    std::string body{};
};

/// Key of the row for one piece of work.
[[nodiscard]] std::string ledger_key(std::string_view workspace, std::string_view service,
                                     std::string_view idempotency_key);

/// 128-bit hash of a body (XXH3), as hex.
[[nodiscard]] std::string hash_body(std::string_view body);

[[nodiscard]] nlohmann::json to_json(const ledger_entry& entry);

/// Error: `platform_answer_invalid` when the row is not a ledger entry.
[[nodiscard]] base::result<ledger_entry> read_entry(const table::table_row& row);

/// Replaces the row if it still has `seen_version` (0: if there is none).
[[nodiscard]] table::table_transaction
write_entry(std::string_view key, table::row_version seen_version, const ledger_entry& entry);

} // namespace poplarstile::ledger
