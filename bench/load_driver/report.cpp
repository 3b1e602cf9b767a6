#include "bench/load_driver/report.hpp"

#include "bench/checker/measures.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>

namespace poplarstile::bench::load_driver
{
namespace
{

using checker::answer;
using checker::promise;
// Members keep the order in which they are written.
using json = nlohmann::ordered_json;

/// Violations listed for each promise; the summary holds all.
constexpr std::size_t max_listed_each = 5;
constexpr checker::wall_us us_per_ms = 1'000;

std::size_t count_told(const checker::history& seen, answer told)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        seen.requests, [told](const auto& note) { return !note.superseded && note.told == told; }));
}

json json_of(const checker::distribution& values)
{
    return {{"count", values.count}, {"p50", values.p50}, {"p95", values.p95}, {"p99", values.p99}};
}

json json_of(const std::map<std::string, checker::distribution>& by_class)
{
    auto rows = json::object();
    for (const auto& [name, values] : by_class) {
        rows[name] = json_of(values);
    }
    return rows;
}

json jobs_json(const checker::history& seen)
{
    std::map<std::string, std::size_t> by_state;
    for (const auto& note : seen.jobs) {
        ++by_state[note.state.empty() ? "not_accepted" : note.state];
    }
    json rows{{"submitted", seen.jobs.size()}};
    for (const auto& [state, count] : by_state) {
        rows[state] = count;
    }
    return rows;
}

json violations_json(const std::vector<checker::violation>& found)
{
    auto rows = json::array();
    for (const auto& each : found) {
        rows.push_back({{"promise", checker::name_of(each.broken)},
                        {"subject", each.subject},
                        {"evidence", each.evidence}});
    }
    return rows;
}

json summary_of(const checker::history& seen, const deployment& target,
                const std::vector<checker::violation>& found)
{
    const auto sent = std::ranges::count(seen.requests, false, &checker::request_note::superseded);
    const auto in_force = checker::time_until_in_force(seen);
    const auto urgent = checker::urgent_start(seen);
    json summary{{"requests", sent}};
    for (const auto told : {answer::completed, answer::failed, answer::rejected, answer::not_run,
                            answer::unknown, answer::no_answer}) {
        summary[std::string{checker::name_of(told)}] = count_told(seen, told);
    }
    summary["foreign_answers"] = count_of(found, promise::own_answer);
    summary["ran_more_than_once"] = count_of(found, promise::at_most_once);
    summary["not_run_but_ran"] = count_of(found, promise::not_run_is_true);
    summary["partial_gangs"] = count_of(found, promise::whole_gang);
    summary["cut_by_shutdown"] = count_of(found, promise::graceful_shutdown);
    summary["work_to_leaving_vm"] = count_of(found, promise::nothing_to_leaving_vm);
    summary["guarantees_late"] = count_of(found, promise::guarantee_reclaimable);
    summary["rule_in_force_ms"] = in_force < 0 ? -1 : in_force / us_per_ms;
    summary["urgent_start_ms"] = {{"p50", urgent.p50}, {"p99", urgent.p99}};
    summary["completion_ms"] = json_of(checker::request_completion(seen));
    summary["job_completion_ms"] = json_of(checker::job_completion(seen));
    summary["fragmentation"] = checker::fragmentation(seen, target.workers);
    summary["jobs"] = jobs_json(seen);
    summary["records"] = {{"executions", seen.executions.size()}, {"tasks", seen.tasks.size()}};
    summary["platform"] = {{"transactions", seen.platform.transactions},
                           {"reads", seen.platform.reads},
                           {"conflicts", seen.platform.conflicts},
                           {"refused", seen.platform.refused}};
    summary["faults"] = seen.faults.size();
    summary["violations"] = violations_json(found);
    return summary;
}

void add_table(std::string& text, std::string_view title, const json& rows)
{
    auto out = std::back_inserter(text);
    fmt::format_to(out, "{:<24}{:>8}{:>10}{:>10}{:>10}\n", title, "count", "p50", "p95", "p99");
    for (const auto& [name, row] : rows.items()) {
        fmt::format_to(out, "  {:<22}{:>8}{:>10.1f}{:>10.1f}{:>10.1f}\n", name,
                       row["count"].get<std::size_t>(), row["p50"].get<double>(),
                       row["p95"].get<double>(), row["p99"].get<double>());
    }
}

std::string readable_of(const json& summary, const std::vector<checker::violation>& found)
{
    std::string text;
    auto out = std::back_inserter(text);
    for (const auto& [name, value] : summary.items()) {
        if (value.is_number_float()) {
            fmt::format_to(out, "{:<24}{:.3f}\n", name, value.get<double>());
        } else if (value.is_number()) {
            fmt::format_to(out, "{:<24}{}\n", name, value.dump());
        }
    }
    fmt::format_to(out, "{:<24}p50 {:.1f}, p99 {:.1f}\n", "urgent_start_ms",
                   summary["urgent_start_ms"]["p50"].get<double>(),
                   summary["urgent_start_ms"]["p99"].get<double>());
    fmt::format_to(out, "{:<24}{}\n{:<24}{}\n", "jobs", summary["jobs"].dump(), "records",
                   summary["records"].dump());
    fmt::format_to(out, "{:<24}{}\n", "platform", summary["platform"].dump());
    add_table(text, "requests, ms", summary["completion_ms"]);
    add_table(text, "jobs, ms", summary["job_completion_ms"]);
    std::map<promise, std::size_t> listed;
    for (const auto& each : found) {
        if (++listed[each.broken] <= max_listed_each) {
            fmt::format_to(out, "BROKEN {} {}: {}\n", checker::name_of(each.broken), each.subject,
                           each.evidence);
        }
    }
    for (const auto& [broken, count] : listed) {
        if (count > max_listed_each) {
            fmt::format_to(out, "{}: {} more in the summary\n", checker::name_of(broken),
                           count - max_listed_each);
        }
    }
    fmt::format_to(out, "{}\n", found.empty() ? "every promise was kept" : "a promise was broken");
    return text;
}

} // namespace

run_report report_of(const checker::history& seen, const deployment& target,
                     const std::vector<checker::violation>& found)
{
    constexpr int indent = 2;
    const auto summary = summary_of(seen, target, found);
    return {readable_of(summary, found), summary.dump(indent) + "\n"};
}

} // namespace poplarstile::bench::load_driver
