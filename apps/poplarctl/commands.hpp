#pragma once

#include "poplarctl/arguments.hpp"
#include "poplarctl/vm_client.hpp"

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <string_view>

namespace poplarstile::poplarctl
{

/// Where a command writes.
struct output {
    std::ostream* results = nullptr;
    std::ostream* messages = nullptr;
};

/// Runs one command.
[[nodiscard]] exit_code run_command(const command& wanted, const options& flags,
                                    const output& streams);

/// Runs one of the `rules` commands.
[[nodiscard]] exit_code run_rules_command(const command& wanted, const options& flags,
                                          const output& streams);

/// Runs one of the `settings` commands.
[[nodiscard]] exit_code run_settings_command(const command& wanted, const output& streams);

/// Events of several VMs as lines in the order of their hybrid logical clock.
[[nodiscard]] std::string merge_timeline(std::vector<nlohmann::json> events);

/// Writes the error and returns the exit code that fits it.
exit_code report(const base::error& failure, const output& streams);

/// Writes what a VM refused and returns the exit code that fits its status.
exit_code report_refusal(const vm_answer& answer, const output& streams);

/// A GET of `path` on the first VM that answers.
[[nodiscard]] base::result<vm_answer> get(const options& flags, const std::string& path);

/// The whole text of a file.
[[nodiscard]] base::result<std::string> read_file(const std::string& path);

/// A new random id for an operation.
[[nodiscard]] std::string random_id();

} // namespace poplarstile::poplarctl
