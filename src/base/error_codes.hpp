#pragma once

#include <cstdint>
#include <span>
#include <string_view>

/// Numbered codes of every error that an operator or a caller can meet.
namespace poplarstile::base
{

/// The thousands digit names the part: 1 settings, 2 rules, 3 callers, 4 platform, 5 workers,
/// 6 peers, 7 operators, 8 scheduling. A number is never given a second meaning.
enum class error_code : std::uint16_t {
    settings_unreadable = 1001,
    settings_unknown_member = 1002,
    settings_missing_member = 1003,
    settings_wrong_type = 1004,
    settings_out_of_range = 1005,
    settings_contradictory = 1006,
    flag_invalid = 1010,
    listen_failed = 1020,
    rules_unreadable = 2001,
    rules_syntax = 2002,
    rules_comment_missing = 2003,
    rules_duplicate = 2004,
    rules_unknown_name = 2005,
    rules_infeasible = 2006,
    rules_conflict = 2007,
    rules_out_of_range = 2008,
    rules_contradictory = 2009,
    rules_base_unknown = 2010,
    request_malformed = 3001,
    request_too_large = 3002,
    request_unknown_service = 3003,
    request_key_missing = 3004,
    request_key_repeated = 3005,
    request_key_reused = 3006,
    request_unknown_path = 3007,
    request_unknown_workspace = 3008,
    request_too_deep = 3009,
    request_rate_limited = 3010,
    request_overloaded = 3011,
    request_deadline_passed = 3012,
    request_not_ready = 3013,
    request_too_many_connections = 3014,
    request_key_in_progress = 3015,
    platform_unreachable = 4001,
    platform_conflict = 4002,
    platform_answer_invalid = 4003,
    platform_outcome_unknown = 4004,
    worker_unreachable = 5001,
    worker_refused = 5002,
    worker_answer_invalid = 5003,
    worker_none_available = 5004,
    worker_outcome_unknown = 5005,
    worker_attempt_failed = 5006,
    peer_unreachable = 6001,
    peer_message_invalid = 6002,
    peer_not_scheduler = 6003,
    operator_key_invalid = 7001,
    operator_no_vm_answers = 7002,
    operator_argument_invalid = 7003,
    job_can_never_run = 8001,
    job_unknown = 8002,
    job_malformed = 8003,
    job_not_accepted = 8004,
    job_cancelled = 8005,
    job_failed_everywhere = 8006,
};

/// One row of the table in docs/ERRORS.md.
struct error_entry {
    error_code code;
    std::string_view name;
    std::string_view meaning;
    std::string_view remedy;
};

/// Every code, in rising order; docs/ERRORS.md lists the same rows.
[[nodiscard]] std::span<const error_entry> error_entries();

/// The row of `code`. Every enumerator has one; a test holds the two together.
[[nodiscard]] const error_entry& entry_of(error_code code);

} // namespace poplarstile::base
