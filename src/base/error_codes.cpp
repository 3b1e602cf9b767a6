#include "base/error_codes.hpp"

#include <algorithm>
#include <array>

namespace poplarstile::base
{
namespace
{

// One row a line keeps the table greppable.
// clang-format off
constexpr auto entries = std::to_array<error_entry>({
    {error_code::settings_unreadable, "settings_unreadable", "the settings file can't be read or is not JSON", "name an existing file that holds one JSON object"},
    {error_code::settings_unknown_member, "settings_unknown_member", "the settings hold a member that does not exist", "remove the member or correct its spelling"},
    {error_code::settings_missing_member, "settings_missing_member", "a required member is missing", "add the member"},
    {error_code::settings_wrong_type, "settings_wrong_type", "a member has another type than expected", "give the member the type that the message names"},
    {error_code::settings_out_of_range, "settings_out_of_range", "a value is outside its range", "choose a value inside the range that the message names"},
    {error_code::settings_contradictory, "settings_contradictory", "two members can't both hold", "change one of the two members named"},
    {error_code::flag_invalid, "flag_invalid", "a command-line flag or argument is wrong", "see --help"},
    {error_code::listen_failed, "listen_failed", "an address can't be listened on", "free the port or choose another address"},
    {error_code::rules_unreadable, "rules_unreadable", "the rules file can't be read", "name an existing, readable text file"},
    {error_code::rules_syntax, "rules_syntax", "a line does not follow the rules grammar", "write what the message expected at that column"},
    {error_code::rules_comment_missing, "rules_comment_missing", "a rule has no comment on who asked for it", "add `# asked by: ...` on the line or above it"},
    {error_code::rules_duplicate, "rules_duplicate", "two lines state the same rule", "keep one of the two lines"},
    {error_code::rules_unknown_name, "rules_unknown_name", "a rule names something that does not exist", "declare the name first or correct its spelling"},
    {error_code::rules_infeasible, "rules_infeasible", "the guarantees can't all be met at once", "lower one of the shapes that the message names"},
    {error_code::rules_conflict, "rules_conflict", "another operator changed the same line first", "read both versions, then apply again"},
    {error_code::rules_out_of_range, "rules_out_of_range", "a number in a rule is outside its range", "choose a value inside the range that the message names"},
    {error_code::rules_contradictory, "rules_contradictory", "two rules can't both hold", "change one of the two lines that the message names"},
    {error_code::rules_base_unknown, "rules_base_unknown", "the version that a change builds on is not known", "read the rules again and apply the change to that version"},
    {error_code::request_malformed, "request_malformed", "the request can't be understood", "correct the member or header that the message names"},
    {error_code::request_too_large, "request_too_large", "headers or body are larger than allowed", "send at most the size that the message names"},
    {error_code::request_unknown_service, "request_unknown_service", "no rule names this service", "use a service that the rules name"},
    {error_code::request_key_missing, "request_key_missing", "the service is not idempotent and the request has no Idempotency-Key", "send one Idempotency-Key header"},
    {error_code::request_key_repeated, "request_key_repeated", "the request has more than one Idempotency-Key", "send exactly one"},
    {error_code::request_key_reused, "request_key_reused", "the Idempotency-Key was used with another body", "use a new key for new work"},
    {error_code::request_unknown_path, "request_unknown_path", "no resource has this path or method", "see the HTTP interface in docs/REFERENCE.md"},
    {error_code::request_unknown_workspace, "request_unknown_workspace", "no rule names this workspace", "use a workspace that the rules name"},
    {error_code::request_too_deep, "request_too_deep", "the JSON body is nested too deeply", "nest at most as deep as the message names"},
    {error_code::request_rate_limited, "request_rate_limited", "the workspace is over its rate", "retry after the time in Retry-After"},
    {error_code::request_overloaded, "request_overloaded", "the VM has no room for the request now", "retry after the time in Retry-After"},
    {error_code::request_deadline_passed, "request_deadline_passed", "the request can't be answered within its deadline", "retry with a longer deadline"},
    {error_code::request_not_ready, "request_not_ready", "the VM is starting or leaving", "retry on another VM"},
    {error_code::request_too_many_connections, "request_too_many_connections", "one caller holds too many connections", "reuse connections"},
    {error_code::request_key_in_progress, "request_key_in_progress", "the work of this key is still running", "ask again with the same key later"},
    {error_code::platform_unreachable, "platform_unreachable", "the platform does not answer", "retry; see docs/OPERATIONS.md on a lost platform"},
    {error_code::platform_conflict, "platform_conflict", "a row changed since it was read", "read again and retry"},
    {error_code::platform_answer_invalid, "platform_answer_invalid", "the platform's answer can't be understood", "check the platform's version and address"},
    {error_code::platform_outcome_unknown, "platform_outcome_unknown", "a write may or may not have taken effect", "read the row to settle it"},
    {error_code::worker_unreachable, "worker_unreachable", "the worker can't be connected to", "none needed; another worker is tried where that is safe"},
    {error_code::worker_refused, "worker_refused", "the worker refused the task", "none needed; another worker is tried where that is safe"},
    {error_code::worker_answer_invalid, "worker_answer_invalid", "the worker's answer can't be understood or is not whole", "check the worker"},
    {error_code::worker_none_available, "worker_none_available", "no worker can take the request now", "retry after the time in Retry-After"},
    {error_code::worker_outcome_unknown, "worker_outcome_unknown", "the worker may have run the request", "check with the maker or club before sending new work"},
    {error_code::worker_attempt_failed, "worker_attempt_failed", "the worker ran the request and it failed", "see the body of the answer"},
    {error_code::peer_unreachable, "peer_unreachable", "a VM does not answer", "none needed while others answer"},
    {error_code::peer_message_invalid, "peer_message_invalid", "a message of another VM can't be understood", "check that the VMs run compatible versions"},
    {error_code::peer_not_scheduler, "peer_not_scheduler", "the VM asked is not the scheduler of its failure domain", "ask the VM that the message names"},
    {error_code::operator_key_invalid, "operator_key_invalid", "the operator key is missing or wrong", "send the key from the settings"},
    {error_code::operator_no_vm_answers, "operator_no_vm_answers", "no VM answers", "name a live VM with --vm"},
    {error_code::operator_argument_invalid, "operator_argument_invalid", "an argument can't be used", "see poplarctl help"},
    {error_code::job_can_never_run, "job_can_never_run", "the job can never run on the hardware or under the rules", "ask for the nearest shape that the message names"},
    {error_code::job_unknown, "job_unknown", "no job has this id", "check the id"},
    {error_code::job_malformed, "job_malformed", "the job can't be understood", "correct the member that the message names"},
    {error_code::job_not_accepted, "job_not_accepted", "the job was not accepted and will not run", "submit again after the time in Retry-After"},
    {error_code::job_cancelled, "job_cancelled", "the job was cancelled", "none needed"},
    {error_code::job_failed_everywhere, "job_failed_everywhere", "the job failed on several different workers", "correct the job"},
});
// clang-format on

} // namespace

std::span<const error_entry> error_entries()
{
    return entries;
}

const error_entry& entry_of(error_code code)
{
    const auto found = std::ranges::find(entries, code, &error_entry::code);
    return found == entries.end() ? entries.front() : *found;
}

} // namespace poplarstile::base
