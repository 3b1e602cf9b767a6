#include "poplarctl/commands.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, vm, "127.0.0.1:8003", "operator addresses of VMs, IP:port, with commas");
ABSL_FLAG(std::string, callers, "", "caller addresses of VMs for submit, IP:port, with commas");
ABSL_FLAG(std::string, key, "", "operator key");
ABSL_FLAG(std::string, key_file, "", "file that holds the operator key");
ABSL_FLAG(std::string, workspace, "", "workspace of a submitted job");
ABSL_FLAG(std::string, idempotency_key, "", "key of a submitted job; a new one by default");
ABSL_FLAG(std::string, author, "", "who applies the rules");
ABSL_FLAG(std::string, subject, "", "timeline: only events of this subject");
ABSL_FLAG(std::string, html, "", "timeline: write a page to this file");
ABSL_FLAG(std::string, log, "", "job explain: files of collected logs, with commas");
ABSL_FLAG(bool, json, false, "print JSON for programs");
ABSL_FLAG(bool, wait, false, "rules apply: wait until every VM in reach has the rules");

namespace poplarstile::poplarctl
{
namespace
{

base::result<options> read_options()
{
    options flags;
    flags.vms = split_list(absl::GetFlag(FLAGS_vm));
    flags.callers = split_list(absl::GetFlag(FLAGS_callers));
    flags.key = absl::GetFlag(FLAGS_key);
    flags.workspace = absl::GetFlag(FLAGS_workspace);
    flags.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
    flags.author = absl::GetFlag(FLAGS_author);
    flags.subject = absl::GetFlag(FLAGS_subject);
    flags.logs = split_list(absl::GetFlag(FLAGS_log));
    flags.html = absl::GetFlag(FLAGS_html);
    flags.json = absl::GetFlag(FLAGS_json);
    flags.wait = absl::GetFlag(FLAGS_wait);
    if (const auto path = absl::GetFlag(FLAGS_key_file); !path.empty()) {
        BOOST_OUTCOME_TRY(key, read_file(path));
        flags.key = key.substr(0, key.find_first_of("\r\n"));
    }
    return flags;
}

exit_code run(const std::vector<std::string>& words)
{
    const output streams{&std::cout, &std::cerr};
    const auto wanted = parse_command(words);
    if (wanted.has_error()) {
        report(wanted.error(), streams);
        return exit_code::usage;
    }
    const auto flags = read_options();
    if (flags.has_error()) {
        report(flags.error(), streams);
        return exit_code::usage;
    }
    return run_command(wanted.value(), flags.value(), streams);
}

} // namespace
} // namespace poplarstile::poplarctl

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "poplarctl [flags] COMMAND\n\nCommands:\n" + poplarstile::poplarctl::command_help() +
        "\nExit codes: 0 done, 1 refused, 2 wrong usage, 3 no VM answers, 4 conflict.");
    const auto arguments = absl::ParseCommandLine(argc, argv);
    const std::vector<std::string> words{arguments.begin() + 1, arguments.end()};
    return static_cast<int>(poplarstile::poplarctl::run(words));
}
