#include "poplarctl/commands.hpp"

#include "poplarctl/drains.hpp"
#include "poplarctl/explain.hpp"
#include "poplarctl/text_table.hpp"
#include "poplarctl/timeline_page.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>
#include <random>
#include <sstream>

namespace poplarstile::poplarctl
{
namespace
{

using nlohmann::json;

/// Writes the answer as JSON or as `text`.
exit_code show(const vm_answer& answer, const options& flags, const output& streams,
               const std::string& text)
{
    *streams.results << (flags.json ? answer.body.dump(2) + '\n' : text);
    return exit_code::ok;
}

std::string members_as_lines(const json& object)
{
    std::string text;
    for (const auto& [name, value] : object.items()) {
        text += fmt::format("{:<20}{}\n", name, cell_of(object, name));
    }
    return text;
}

std::string status_text(const json& body)
{
    const auto part = [&](const char* name) { return body.value(name, json::array()); };
    auto text = fmt::format("vm {} in {}, rules version {}\n\n", cell_of(body, "vm"),
                            cell_of(body, "failure_domain"), cell_of(body, "rules_version"));
    text += to_text(table_of(part("members"), {"id", "failure_domain", "state", "rules_version"}));
    text += '\n' + to_text(table_of(part("workers"), {"id", "state", "free_accelerators"}));
    return text + '\n' + members_as_lines(body.value("jobs", json::object()));
}

/// A call whose answer is shown by `write`.
template <class Writer>
exit_code call_and_show(const net::http_call& wanted, const options& flags, const output& streams,
                        Writer write)
{
    auto client = vm_client::create(flags.vms, flags.key);
    if (client.has_error()) {
        return report(client.error(), streams);
    }
    const auto answer = client.value().call(wanted, wanted.method == "GET");
    if (answer.has_error()) {
        return report(answer.error(), streams);
    }
    if (!answer.value().ok()) {
        return report_refusal(answer.value(), streams);
    }
    return show(answer.value(), flags, streams, write(answer.value().body));
}

net::http_call call_of(std::string method, std::string path)
{
    net::http_call made;
    made.method = std::move(method);
    made.url = std::move(path);
    return made;
}

exit_code submit(const command& wanted, const options& flags, const output& streams)
{
    const auto body = read_file(wanted.operands.front());
    if (body.has_error()) {
        return report(body.error(), streams);
    }
    auto made = call_of("POST", "/v1/jobs");
    made.body = body.value();
    const auto key = flags.idempotency_key.empty() ? random_id() : flags.idempotency_key;
    made.headers = {{"Content-Type", "application/json"},
                    {"X-Workspace", flags.workspace},
                    {"Idempotency-Key", key}};
    // The same key and body give the same job, so a lost answer may be asked for again.
    auto client = vm_client::create(flags.callers, "");
    if (client.has_error()) {
        return report(client.error(), streams);
    }
    const auto answer = client.value().call(made, true);
    if (answer.has_error()) {
        *streams.messages << fmt::format("repeat with --idempotency_key={}\n", key);
        return report(answer.error(), streams);
    }
    if (!answer.value().ok()) {
        return report_refusal(answer.value(), streams);
    }
    return show(answer.value(), flags, streams, members_as_lines(answer.value().body));
}

exit_code drain(const options& flags, const output& streams)
{
    // Only the VM that was named may leave, so no other is tried.
    auto first_only = flags;
    first_only.vms.resize(std::min<std::size_t>(flags.vms.size(), 1));
    return call_and_show(call_of("POST", "/v1/drain"), first_only, streams, members_as_lines);
}

exit_code write_page(const std::string& path, const std::string& text, const output& streams)
{
    std::ofstream file{path};
    file << text;
    if (!file.flush()) {
        return report({base::error_code::operator_argument_invalid, path, "can't be written", {}},
                      streams);
    }
    return exit_code::ok;
}

exit_code timeline(const options& flags, const output& streams)
{
    auto client = vm_client::create(flags.vms, flags.key);
    if (client.has_error()) {
        return report(client.error(), streams);
    }
    std::vector<json> events;
    std::size_t answered = 0;
    auto path = std::string{"/v1/events?after=0&limit=10000"};
    if (!flags.subject.empty()) {
        path += "&subject=" + net::url_encode(flags.subject);
    }
    for (const auto& address : flags.vms) {
        const auto answer = client.value().call_one(address, call_of("GET", path));
        if (answer.has_error() || !answer.value().ok()) {
            *streams.messages << fmt::format("no events from {}\n", address);
            continue;
        }
        ++answered;
        for (const auto& event : answer.value().body.value("events", json::array())) {
            events.push_back(event);
        }
    }
    if (answered == 0) {
        return report({base::error_code::operator_no_vm_answers, "--vm", "none gave events", {}},
                      streams);
    }
    if (!flags.html.empty()) {
        return write_page(flags.html, timeline_page(std::move(events)), streams);
    }
    *streams.results << (flags.json ? json(events).dump(2) + '\n' : merge_timeline(events));
    return exit_code::ok;
}

exit_code show_drains(const options& flags, const output& streams)
{
    auto client = vm_client::create(flags.vms, flags.key);
    if (client.has_error()) {
        return report(client.error(), streams);
    }
    std::vector<std::string> metrics;
    for (const auto& address : flags.vms) {
        auto text = client.value().metrics(address);
        if (text.has_error()) {
            *streams.messages << fmt::format("no metrics from {}\n", address);
        } else {
            metrics.push_back(std::move(text).value());
        }
    }
    if (metrics.empty()) {
        return report({base::error_code::operator_no_vm_answers, "--vm", "none gave metrics",
                       "name the metrics addresses of VMs with --vm"},
                      streams);
    }
    const auto domains = drained_domains(metrics);
    *streams.results << (flags.json ? domains.dump(2) + '\n'
                                    : to_text(table_of(domains, {"domain", "drained_s", "runs"})));
    return exit_code::ok;
}

std::string job_table(const json& body)
{
    return to_text(table_of(body.value("jobs", json::array()),
                            {"job", "state", "class", "workspace", "shape", "detail"}));
}

std::string fragmentation_text(const json& body)
{
    return fmt::format(
               "free accelerators    {}\nlargest free shape   {}\nunusable share       {}\n\n",
               cell_of(body, "free_accelerators"), cell_of(body, "largest_free_shape"),
               cell_of(body, "unusable_share")) +
           to_text(table_of(body.value("by_shape", json::array()), {"shape", "free"}));
}

exit_code run_job_command(const command& wanted, const options& flags, const output& streams)
{
    if (wanted.action == verb::job_list) {
        return call_and_show(call_of("GET", "/v1/jobs"), flags, streams, job_table);
    }
    const auto path = "/v1/jobs/" + net::url_encode(wanted.operands.front());
    if (wanted.action == verb::job_why) {
        return call_and_show(call_of("GET", path + "/why"), flags, streams, members_as_lines);
    }
    const auto* const method = wanted.action == verb::job_cancel ? "DELETE" : "GET";
    return call_and_show(call_of(method, path), flags, streams, members_as_lines);
}

exit_code explain_job(const command& wanted, const options& flags, const output& streams)
{
    if (flags.logs.empty()) {
        return report({base::error_code::operator_argument_invalid, "--log",
                       "no file of logs was given", "name the files with --log"},
                      streams);
    }
    std::vector<log_line> lines;
    for (const auto& path : flags.logs) {
        const auto text = read_file(path);
        if (text.has_error()) {
            return report(text.error(), streams);
        }
        std::istringstream stream{text.value()};
        auto read = read_log(stream);
        lines.insert(lines.end(), std::make_move_iterator(read.begin()),
                     std::make_move_iterator(read.end()));
    }
    const auto& job = wanted.operands.front();
    const auto found = lines_about(lines, job);
    *streams.results << explain(found, job);
    return found.empty() ? exit_code::refused : exit_code::ok;
}

} // namespace

exit_code run_command(const command& wanted, const options& flags, const output& streams)
{
    switch (wanted.action) {
    case verb::submit:
        return submit(wanted, flags, streams);
    case verb::job_list:
    case verb::job_show:
    case verb::job_why:
    case verb::job_cancel:
        return run_job_command(wanted, flags, streams);
    case verb::job_explain:
        return explain_job(wanted, flags, streams);
    case verb::status:
        return call_and_show(call_of("GET", "/v1/status"), flags, streams, status_text);
    case verb::fragmentation:
        return call_and_show(call_of("GET", "/v1/fragmentation"), flags, streams,
                             fragmentation_text);
    case verb::settings_check:
    case verb::settings_reference:
        return run_settings_command(wanted, streams);
    case verb::drain:
        return drain(flags, streams);
    case verb::drains:
        return show_drains(flags, streams);
    case verb::timeline:
        return timeline(flags, streams);
    default:
        return run_rules_command(wanted, flags, streams);
    }
}

std::string merge_timeline(std::vector<json> events)
{
    std::ranges::stable_sort(events, [](const json& left, const json& right) {
        return left.value("hlc", json{}) < right.value("hlc", json{});
    });
    return to_text(table_of(json(events),
                            {"wall_us", "process", "part", "kind", "subject", "cause", "detail"}));
}

exit_code report(const base::error& failure, const output& streams)
{
    *streams.messages << base::describe(failure) << '\n';
    return failure.code == base::error_code::operator_no_vm_answers ? exit_code::no_vm_answers
                                                                    : exit_code::refused;
}

exit_code report_refusal(const vm_answer& answer, const output& streams)
{
    constexpr std::uint16_t conflict_status = 409;
    const auto faults = answer.body.value("errors", json::array({answer.body}));
    for (const auto& fault : faults) {
        *streams.messages << fmt::format("refused by {} ({}): error {} {} {}: {}. Remedy: {}.\n",
                                         answer.vm, answer.status, cell_of(fault, "code"),
                                         cell_of(fault, "name"), cell_of(fault, "place"),
                                         cell_of(fault, "detail"), cell_of(fault, "remedy"));
    }
    if (answer.body.contains("conflicts")) {
        *streams.messages << to_text(
            table_of(answer.body.at("conflicts"), {"line", "yours", "theirs", "author"}));
    }
    return answer.status == conflict_status ? exit_code::conflict : exit_code::refused;
}

base::result<vm_answer> get(const options& flags, const std::string& path)
{
    BOOST_OUTCOME_TRY(client, vm_client::create(flags.vms, flags.key));
    return client.call(call_of("GET", path), true);
}

base::result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return base::error{base::error_code::operator_argument_invalid, path,
                           "the file can't be read", "name an existing, readable file"};
    }
    return text.str();
}

std::string random_id()
{
    std::random_device source;
    return fmt::format("{:08x}{:08x}{:08x}{:08x}", source(), source(), source(), source());
}

} // namespace poplarstile::poplarctl
