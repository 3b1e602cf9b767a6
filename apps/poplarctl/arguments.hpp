#pragma once

#include "base/result.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The operators' command line: what was asked for, and how it ended.
namespace poplarstile::poplarctl
{

/// 0 done, 1 refused, 2 wrong usage, 3 no VM answers, 4 conflict with another change or key.
enum class exit_code : int { ok = 0, refused = 1, usage = 2, no_vm_answers = 3, conflict = 4 };

enum class verb {
    rules_check,
    rules_show,
    rules_diff,
    rules_apply,
    rules_log,
    rules_explain,
    settings_check,
    settings_reference,
    submit,
    job_list,
    job_show,
    job_why,
    job_cancel,
    job_explain,
    status,
    fragmentation,
    drain,
    drains,
    timeline,
};

struct command {
    verb action = verb::status;
    /// What follows the command's words: a file, a job, a rule.
    std::vector<std::string> operands{};
};

/// Values of the flags.
struct options {
    std::vector<std::string> vms{};
    std::vector<std::string> callers{};
    std::string key{};
    std::string workspace{};
    std::string idempotency_key{};
    std::string author{};
    std::string subject{};
    /// Files of collected logs.
    std::vector<std::string> logs{};
    /// Where the time line goes as a page; empty for text.
    std::string html{};
    bool json = false;
    bool wait = false;
};

/// Reads the words after the flags; the error names what was expected.
[[nodiscard]] base::result<command> parse_command(std::span<const std::string> words);

/// Parts of a comma-separated list, without empty ones.
[[nodiscard]] std::vector<std::string> split_list(std::string_view text);

/// All commands, one a line, for the help text.
[[nodiscard]] std::string command_help();

} // namespace poplarstile::poplarctl
