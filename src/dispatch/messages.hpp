#pragma once

#include "base/result.hpp"
#include "base/time.hpp"
#include "ledger/ledger_entry.hpp"
#include "routing/worker_pool.hpp"
#include "rules/ruleset.hpp"
#include "table/table.hpp"
#include "workers/worker_messages.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What goes into and comes out of the dispatcher of short requests.
namespace poplarstile::dispatch
{

/// Names a caller's request inside this process.
using request_number = std::uint64_t;

/// A short request, checked by the gateway.
struct incoming_request {
    request_number number = 0;
    /// Travels end to end; the caller's own or one made here.
    std::string request_id{};
    std::string workspace{};
    std::string service{};
    /// Empty where the caller sent none.
    std::string idempotency_key{};
    /// JSON text, unchanged.
    std::string body{};
    std::optional<base::milliseconds> deadline{};
};

/// The only ways in which a request ends for its caller.
enum class outcome { completed, failed, rejected, not_run, unknown };

[[nodiscard]] std::string_view to_string(outcome value);

struct caller_answer {
    request_number number = 0;
    outcome result = outcome::unknown;
    /// Set for every outcome but `completed`.
    std::optional<base::error> failure{};
    std::string worker{};
    /// JSON text of the worker's whole answer.
    std::string body{};
    /// How long to wait before asking again; 0 where it makes no sense.
    base::milliseconds retry_after{0};
};

// Events.

struct request_received {
    incoming_request request{};
};
/// The answer to `send_execute`, `send_query` or `send_fence`.
struct attempt_reported {
    request_number number = 0;
    std::string attempt{};
    workers::execute_answer answer{};
    /// True for the answer to a question about the attempt, false for that of the attempt itself.
    bool asked = false;
};
struct ledger_written {
    request_number number = 0;
    table::commit_result result{};
};
struct ledger_read {
    request_number number = 0;
    base::result<std::optional<table::table_row>> row;
};
struct time_passed {
};
struct rules_changed {
    std::shared_ptr<const rules::ruleset> rules{};
};
/// Live VMs that share this failure domain's workers, this one included.
struct sharing_vms_changed {
    std::size_t vms = 1;
};

using event = std::variant<request_received, attempt_reported, ledger_written, ledger_read,
                           time_passed, rules_changed, sharing_vms_changed>;

// Actions.

struct send_execute {
    request_number number = 0;
    std::string address{};
    workers::execute_call call{};
};
struct send_query {
    request_number number = 0;
    std::string address{};
    std::string attempt{};
    base::milliseconds timeout{0};
};
struct send_fence {
    request_number number = 0;
    std::string address{};
    std::string attempt{};
    base::milliseconds timeout{0};
};
struct write_ledger {
    request_number number = 0;
    table::table_transaction transaction{};
};
struct read_ledger {
    request_number number = 0;
    std::string key{};
};
struct give_answer {
    caller_answer answer{};
};
/// For the time line.
struct note_event {
    std::string kind{};
    std::string subject{};
    std::string cause{};
    std::string detail{};
};

using action = std::variant<send_execute, send_query, send_fence, write_ledger, read_ledger,
                            give_answer, note_event>;
using actions = std::vector<action>;

} // namespace poplarstile::dispatch
