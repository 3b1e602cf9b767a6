#include "poplarctl/explain.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <istream>
#include <iterator>
#include <limits>
#include <set>

namespace poplarstile::poplarctl
{
namespace
{

constexpr std::int64_t microseconds_per_ms = 1'000;
/// Lines on leaders and the store this long before the job's first line still bear on it.
constexpr std::int64_t lead_us = 5'000'000;

constexpr std::array<std::string_view, 10> worker_events{
    "worker_silent",    "worker_answers_again", "lease_of_worker_over", "worker_left",
    "worker_life_over", "worker_unlisted",      "worker_listed",        "worker_forgotten",
    "address_taken",    "poll_incomplete"};
constexpr std::array<std::string_view, 15> site_events{
    "elected",  "taking_over", "took_over",      "lease_lost",      "handed_back",
    "yielding", "part_away",   "part_back",      "part_not_served", "job_history_gone",
    "started",  "leaving",     "lines_left_out", "leader_known",    "starts_held_back"};
/// Members that name a worker with which the job had to do.
constexpr std::array<const char*, 3> worker_members{"worker", "newest_run_on", "given_up_on"};
/// Members that stand in every line and are shown apart.
constexpr std::array<std::string_view, 5> common_members{"time_us", "vm", "level", "part", "event"};

std::string text_of(const log_line& line, const char* member)
{
    const auto found = line.find(member);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::int64_t time_of(const log_line& line)
{
    const auto found = line.find("time_us");
    return found != line.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

bool is_about(const log_line& line, std::string_view job)
{
    return text_of(line, "job") == job || text_of(line, "task").starts_with(std::string{job} + '.');
}

template <std::size_t Size>
bool is_one_of(const log_line& line, const std::array<std::string_view, Size>& events)
{
    return std::ranges::find(events, text_of(line, "event")) != events.end();
}

std::string value_text(const log_line& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string line_text(const log_line& line, std::int64_t first_us)
{
    auto text =
        fmt::format("{:>+9} ms  {:<22} {:<11} {}", (time_of(line) - first_us) / microseconds_per_ms,
                    text_of(line, "vm"), text_of(line, "part"), text_of(line, "event"));
    for (const auto& [name, value] : line.items()) {
        if (std::ranges::find(common_members, name) == common_members.end()) {
            text += fmt::format(" {}={}", name, value_text(value));
        }
    }
    return text + '\n';
}

} // namespace

std::vector<log_line> read_log(std::istream& text)
{
    std::vector<log_line> lines;
    std::string line;
    while (std::getline(text, line)) {
        const auto begin = line.find('{');
        if (begin == std::string::npos) {
            continue;
        }
        auto parsed = log_line::parse(line.substr(begin), nullptr, false);
        if (parsed.is_object()) {
            lines.push_back(std::move(parsed));
        }
    }
    return lines;
}

std::vector<log_line> lines_about(const std::vector<log_line>& all, std::string_view job)
{
    std::set<std::string> workers;
    auto first = std::numeric_limits<std::int64_t>::max();
    auto last = std::numeric_limits<std::int64_t>::min();
    for (const auto& line : all) {
        if (is_about(line, job)) {
            for (const auto* const member : worker_members) {
                workers.insert(text_of(line, member));
            }
            first = std::min(first, time_of(line) - lead_us);
            last = std::max(last, time_of(line));
        }
    }
    workers.erase(std::string{});
    std::vector<log_line> found;
    std::ranges::copy_if(all, std::back_inserter(found), [&](const log_line& line) {
        const bool meanwhile = time_of(line) >= first && time_of(line) <= last;
        const bool on_its_worker =
            is_one_of(line, worker_events) && workers.contains(text_of(line, "worker"));
        return is_about(line, job) ||
               (meanwhile && (on_its_worker || is_one_of(line, site_events)));
    });
    std::ranges::stable_sort(found, {}, time_of);
    return found;
}

std::string explain(const std::vector<log_line>& lines, std::string_view job)
{
    if (lines.empty()) {
        return fmt::format("no line names job {}\n", job);
    }
    const auto own =
        std::ranges::find_if(lines, [job](const log_line& line) { return is_about(line, job); });
    std::string text;
    for (const auto& line : lines) {
        text += line_text(line, time_of(own == lines.end() ? lines.front() : *own));
    }
    return text;
}

} // namespace poplarstile::poplarctl
