#include "bench/capacity/measurement.hpp"

#include "rules/rule_delta.hpp"
#include "rules/rules_text.hpp"

#include <fmt/format.h>

#include <array>

namespace poplarstile::bench::capacity
{
namespace
{

constexpr std::array<std::size_t, 5> line_sizes{125, 250, 500, 1'000, 2'000};
constexpr std::array<std::size_t, 5> change_sizes{4, 16, 64, 256, 1'024};

rules::line_record make_line(std::size_t number)
{
    rules::line_record line;
    line.id = fmt::format("workspace team-{:05} share", number);
    line.text = fmt::format("workspace team-{:05} share 2", number);
    line.comment = "asked by: owner, contract of November";
    line.order = static_cast<double>(number);
    line.version = 1;
    line.author = "owner";
    line.time_us = 1'790'000'000'000'000;
    return line;
}

rules::rules_state make_state(std::size_t lines)
{
    rules::rules_state state;
    state.version = 1;
    for (std::size_t number = 0; number < lines; ++number) {
        state.lines.push_back(make_line(number));
    }
    return state;
}

/// Edits one line: what most of the 9,400 changes a day are.
rules::change_record edit_after(const rules::rules_state& state)
{
    rules::change_record change{.version = state.version + 1,
                                .author = "owner",
                                .time_us = 1'790'000'000'000'000,
                                .operation = "operator-1-000000000001"};
    const auto& line = state.lines[state.lines.size() / 2];
    change.removed.push_back(line);
    auto edited = line;
    edited.text.back() = edited.text.back() == '2' ? '3' : '2';
    edited.version = change.version;
    change.added.push_back(edited);
    return change;
}

rules::rules_delta delta_of(rules::rules_state state, std::size_t changes)
{
    rules::rules_delta delta{.from = state.version};
    for (std::size_t change = 0; change < changes; ++change) {
        delta.changes.push_back(edit_after(state));
        state = rules::apply_change(state, delta.changes.back()).value();
    }
    return delta;
}

slope state_per_line(const effort& how)
{
    return measure({.name = "rules.line.state",
                    .what = "Memory of the rules in force, read.",
                    .size_unit = "lines",
                    .cost_unit = "bytes"},
                   line_sizes, how, [](std::size_t lines) {
                       const auto state = make_state(lines);
                       const auto before = allocated_bytes();
                       const auto read = rules::to_ruleset(state);
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope read_all(const effort& how)
{
    return measure({.name = "rules.read_all.cpu",
                    .what = "Reading all lines from their stored words, as done on each change.",
                    .size_unit = "lines",
                    .cost_unit = "us"},
                   line_sizes, how, [&how](std::size_t lines) {
                       const auto state = make_state(lines);
                       return least_cpu_us(
                           how.repeats, [] {}, [&] { const auto read = rules::to_ruleset(state); });
                   });
}

slope apply_one(const effort& how)
{
    return measure({.name = "rules.apply_change.cpu",
                    .what = "Applying a change of one line to the stored state.",
                    .size_unit = "lines",
                    .cost_unit = "us"},
                   line_sizes, how, [&how](std::size_t lines) {
                       const auto state = make_state(lines);
                       const auto change = edit_after(state);
                       return least_cpu_us(
                           how.repeats, [] {},
                           [&] { const auto next = rules::apply_change(state, change); });
                   });
}

slope snapshot_bytes(const effort& how)
{
    return measure({.name = "rules.snapshot.bytes",
                    .what = "The rules as text, which the daemon sends to a peer.",
                    .size_unit = "lines",
                    .cost_unit = "bytes"},
                   line_sizes, how, [](std::size_t lines) {
                       const auto read = rules::to_ruleset(make_state(lines)).value();
                       return static_cast<double>(rules::to_text(read).size());
                   });
}

slope table_bytes(const effort& how)
{
    return measure({.name = "rules.table_scan.bytes",
                    .what = "All line rows as JSON, which the daemon scans on each change.",
                    .size_unit = "lines",
                    .cost_unit = "bytes"},
                   line_sizes, how, [](std::size_t lines) {
                       return static_cast<double>(to_json(make_state(lines)).dump().size());
                   });
}

slope delta_bytes(const effort& how)
{
    return measure({.name = "rules.delta.bytes",
                    .what = "A delta of changes of one line each as JSON, out of 1,000 lines.",
                    .size_unit = "changes",
                    .cost_unit = "bytes"},
                   change_sizes, how, [](std::size_t changes) {
                       const auto delta = delta_of(make_state(1'000), changes);
                       return static_cast<double>(to_json(delta).dump().size());
                   });
}

} // namespace

std::vector<slope> rules_slopes(const effort& how)
{
    return {state_per_line(how), read_all(how),    apply_one(how),
            snapshot_bytes(how), table_bytes(how), delta_bytes(how)};
}

} // namespace poplarstile::bench::capacity
