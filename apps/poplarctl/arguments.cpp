#include "poplarctl/arguments.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace poplarstile::poplarctl
{
namespace
{

struct command_form {
    verb action;
    std::string_view group;
    std::string_view name;
    /// Operands in words; their number is fixed.
    std::string_view operands;
    std::size_t operand_count;
    std::string_view meaning;
};

// clang-format off
constexpr auto forms = std::to_array<command_form>({
    {verb::rules_check, "rules", "check", "FILE", 1, "check a rules file without any VM"},
    {verb::rules_show, "rules", "show", "", 0, "print the rules in force with their version"},
    {verb::rules_diff, "rules", "diff", "FILE", 1, "show what FILE would change"},
    {verb::rules_apply, "rules", "apply", "FILE", 1, "put FILE's changes in force; --wait until every VM has them"},
    {verb::rules_log, "rules", "log", "", 0, "list accepted changes, newest first"},
    {verb::rules_explain, "rules", "explain", "WORD", 1, "show the rules on WORD and who asked for them"},
    {verb::settings_check, "settings", "check", "FILE", 1, "check a VM's settings file without any VM"},
    {verb::settings_reference, "settings", "reference", "", 0, "print the page on all settings"},
    {verb::submit, "", "submit", "FILE", 1, "submit the job in FILE (needs --callers and --workspace)"},
    {verb::job_list, "job", "list", "", 0, "list jobs"},
    {verb::job_show, "job", "show", "JOB", 1, "show one job"},
    {verb::job_why, "job", "why", "JOB", 1, "tell what a job waits for"},
    {verb::job_cancel, "job", "cancel", "JOB", 1, "cancel a job"},
    {verb::job_explain, "job", "explain", "JOB", 1, "tell from the logs in --log what became of a job, without any VM"},
    {verb::status, "", "status", "", 0, "show VMs, workers and jobs"},
    {verb::fragmentation, "", "fragmentation", "", 0, "show free accelerators by shape"},
    {verb::drain, "", "drain", "", 0, "let the first VM of --vm leave gracefully"},
    {verb::drains, "", "drains", "", 0, "show drained failure domains from the metrics addresses in --vm"},
    {verb::timeline, "", "timeline", "", 0, "merge the events of all VMs of --vm; --html FILE for a page"},
});
// clang-format on

std::string usage_of(const command_form& form)
{
    auto words = std::string{form.group};
    for (const auto part : {form.name, form.operands}) {
        if (!part.empty()) {
            words += (words.empty() ? "" : " ") + std::string{part};
        }
    }
    return words;
}

base::error usage_error(std::string detail, std::string remedy)
{
    return {base::error_code::operator_argument_invalid, "command line", std::move(detail),
            std::move(remedy)};
}

bool is_start_of(const command_form& form, std::span<const std::string> words)
{
    if (form.group.empty()) {
        return words[0] == form.name;
    }
    return words.size() > 1 && words[0] == form.group && words[1] == form.name;
}

} // namespace

base::result<command> parse_command(std::span<const std::string> words)
{
    if (words.empty()) {
        return usage_error("no command was given", "see poplarctl --help");
    }
    const auto found = std::ranges::find_if(
        forms, [&](const command_form& form) { return is_start_of(form, words); });
    if (found == forms.end()) {
        return usage_error(fmt::format("'{}' is no command", fmt::join(words, " ")),
                           "see poplarctl --help");
    }
    const auto operands = words.subspan(found->group.empty() ? 1 : 2);
    if (operands.size() != found->operand_count) {
        return usage_error(fmt::format("{} operands were given, expected {}", operands.size(),
                                       found->operand_count),
                           fmt::format("write 'poplarctl {}'", usage_of(*found)));
    }
    return command{found->action, {operands.begin(), operands.end()}};
}

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(','), text.size());
        if (end > 0) {
            parts.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parts;
}

std::string command_help()
{
    std::string help;
    for (const auto& form : forms) {
        help += fmt::format("  {:<22}{}\n", usage_of(form), form.meaning);
    }
    return help;
}

} // namespace poplarstile::poplarctl
