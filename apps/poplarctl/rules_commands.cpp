#include "poplarctl/commands.hpp"
#include "poplarctl/text_table.hpp"
#include "rules/rules_diff.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <chrono>
#include <optional>
#include <ostream>
#include <thread>

namespace poplarstile::poplarctl
{
namespace
{

using nlohmann::json;

constexpr base::milliseconds reach_poll{200};
constexpr base::milliseconds reach_timeout{15'000};

/// Reads and checks a rules file; faults are written and give no value.
std::optional<rules::ruleset> load(const std::string& path, const output& streams)
{
    const auto text = read_file(path);
    if (text.has_error()) {
        report(text.error(), streams);
        return std::nullopt;
    }
    auto parsed = rules::parse_rules(text.value(), path);
    if (parsed.has_error()) {
        for (const auto& fault : parsed.error().errors) {
            report(fault, streams);
        }
        return std::nullopt;
    }
    return std::move(parsed.value());
}

exit_code check(const command& wanted, const output& streams)
{
    const auto loaded = load(wanted.operands.front(), streams);
    if (!loaded) {
        return exit_code::refused;
    }
    *streams.results << fmt::format("{} rules, no faults\n", loaded->lines.size());
    return exit_code::ok;
}

/// The rules in force, read from the first VM that answers.
base::result<rules::ruleset> rules_in_force(const options& flags, const output& streams)
{
    BOOST_OUTCOME_TRY(answer, get(flags, "/v1/rules"));
    if (!answer.ok()) {
        return base::error{base::error_code::operator_argument_invalid, answer.vm,
                           "the VM refused: " + cell_of(answer.body, "detail"),
                           cell_of(answer.body, "remedy")};
    }
    auto parsed = rules::parse_rules(answer.body.value("text", std::string{}), answer.vm);
    if (parsed.has_error()) {
        return parsed.error().errors.front();
    }
    parsed.value().version = answer.body.value("version", rules::rules_version{0});
    if (!answer.body.value("confirmed", true)) {
        *streams.messages << fmt::format(
            "{} can't reach the platform: these rules may not be the newest\n", answer.vm);
    }
    return std::move(parsed.value());
}

exit_code show_rules(const options& flags, const output& streams)
{
    const auto in_force = rules_in_force(flags, streams);
    if (in_force.has_error()) {
        return report(in_force.error(), streams);
    }
    *streams.results << rules::to_text(in_force.value());
    return exit_code::ok;
}

exit_code diff_rules(const command& wanted, const options& flags, const output& streams)
{
    const auto loaded = load(wanted.operands.front(), streams);
    if (!loaded) {
        return exit_code::refused;
    }
    const auto in_force = rules_in_force(flags, streams);
    if (in_force.has_error()) {
        return report(in_force.error(), streams);
    }
    *streams.results << rules::to_text(rules::diff(in_force.value(), *loaded));
    return exit_code::ok;
}

/// Waits until no VM is behind, and tells which are out of reach.
exit_code wait_for_reach(const options& flags, rules::rules_version version, const output& streams)
{
    const auto path = fmt::format("/v1/rules/reach?version={}", version);
    for (base::milliseconds waited{0}; waited < reach_timeout; waited += reach_poll) {
        const auto answer = get(flags, path);
        if (answer.has_error()) {
            return report(answer.error(), streams);
        }
        const auto& body = answer.value().body;
        if (answer.value().ok() && body.value("behind", json::array()).empty()) {
            *streams.results << fmt::format("in force on {}\nout of reach {}\n",
                                            cell_of(body, "in_force"),
                                            cell_of(body, "out_of_reach"));
            return exit_code::ok;
        }
        std::this_thread::sleep_for(reach_poll);
    }
    *streams.messages << "some VMs are still behind; see poplarctl status\n";
    return exit_code::refused;
}

exit_code apply(const command& wanted, const options& flags, const output& streams)
{
    const auto loaded = load(wanted.operands.front(), streams);
    if (!loaded) {
        return exit_code::refused;
    }
    if (flags.author.empty()) {
        report({base::error_code::operator_argument_invalid, "--author", "no author was given",
                "name who applies the rules"},
               streams);
        return exit_code::usage;
    }
    auto client = vm_client::create(flags.vms, flags.key);
    if (client.has_error()) {
        return report(client.error(), streams);
    }
    net::http_call made;
    made.method = "POST";
    made.url = "/v1/rules";
    made.headers = {{"Content-Type", "application/json"}};
    made.body = json{{"author", flags.author},
                     {"base_version", loaded->version},
                     {"text", rules::to_text(*loaded)},
                     {"operation", random_id()}}
                    .dump();
    // The operation names the wish, so another VM may be asked after a lost answer.
    const auto answer = client.value().call(made, true);
    if (answer.has_error()) {
        return report(answer.error(), streams);
    }
    if (!answer.value().ok()) {
        return report_refusal(answer.value(), streams);
    }
    const auto version = answer.value().body.value("version", rules::rules_version{0});
    *streams.results << (flags.json ? answer.value().body.dump() + '\n'
                                    : fmt::format("accepted as version {}\n", version));
    return flags.wait ? wait_for_reach(flags, version, streams) : exit_code::ok;
}

exit_code show_log(const options& flags, const output& streams)
{
    const auto answer = get(flags, "/v1/rules/log?limit=50");
    if (answer.has_error()) {
        return report(answer.error(), streams);
    }
    if (!answer.value().ok()) {
        return report_refusal(answer.value(), streams);
    }
    const auto& body = answer.value().body;
    *streams.results << (flags.json ? body.dump(2) + '\n'
                                    : to_text(table_of(
                                          body.value("changes", json::array()),
                                          {"version", "author", "time_us", "added", "removed"})));
    return exit_code::ok;
}

exit_code explain(const command& wanted, const options& flags, const output& streams)
{
    const auto in_force = rules_in_force(flags, streams);
    if (in_force.has_error()) {
        return report(in_force.error(), streams);
    }
    std::size_t found = 0;
    for (const auto& line : in_force.value().lines) {
        if (line.text.find(wanted.operands.front()) != std::string::npos) {
            *streams.results << fmt::format("{}\n    {}\n", line.text, line.comment);
            ++found;
        }
    }
    if (found == 0) {
        *streams.messages << fmt::format("no rule names '{}'\n", wanted.operands.front());
        return exit_code::refused;
    }
    return exit_code::ok;
}

} // namespace

exit_code run_rules_command(const command& wanted, const options& flags, const output& streams)
{
    switch (wanted.action) {
    case verb::rules_check:
        return check(wanted, streams);
    case verb::rules_show:
        return show_rules(flags, streams);
    case verb::rules_diff:
        return diff_rules(wanted, flags, streams);
    case verb::rules_apply:
        return apply(wanted, flags, streams);
    case verb::rules_log:
        return show_log(flags, streams);
    case verb::rules_explain:
        return explain(wanted, flags, streams);
    default:
        return exit_code::usage;
    }
}

} // namespace poplarstile::poplarctl
