#include "base/event_line.hpp"

#include "base/time.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>

namespace poplarstile::base
{
namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
constexpr double microseconds_per_second = 1e6;
/// Bytes that a pipe takes whole or not at all.
constexpr std::size_t max_write_bytes = PIPE_BUF;

/// The least time between two reports of lines that were left out.
constexpr std::int64_t report_interval_us = 1'000'000;
/// Events whose lines are counted apart while they are left out.
constexpr std::size_t max_counted_events = 16;
/// Stands for the events beyond them.
constexpr std::string_view other_events = "others";

/// A number of lines that grows with time up to a bound.
struct line_budget {
    double lines = 0.0;

    void refill(double elapsed_s, double lines_per_s, double most)
    {
        lines = std::min(most, lines + elapsed_s * lines_per_s);
    }
    [[nodiscard]] bool take()
    {
        if (lines < 1.0) {
            return false;
        }
        lines -= 1.0;
        return true;
    }
};

/// The process's log: lines that wait for standard output, and the budgets that bound them.
struct line_log {
    std::mutex mutex;
    event_line_options options;
    std::string vm;
    std::string waiting;
    line_budget shared;
    /// For decisive lines only.
    line_budget reserved;
    std::int64_t refilled_us = 0;
    left_out_lines left_out;
    left_out_lines reported;
    std::int64_t reported_us = 0;
    /// Lines left out since the last report, by event.
    std::map<std::string, std::uint64_t, std::less<>> left_out_events;
    bool started = false;
};

line_log& the_log()
{
    static line_log log;
    return log;
}

/// Appends a JSON string. Nearly all are plain; the others go through the JSON library.
void append_text(std::string& line, std::string_view text)
{
    const bool plain = std::ranges::all_of(text, [](char letter) {
        constexpr char first_printable = 0x20;
        constexpr char last_printable = 0x7e;
        return letter >= first_printable && letter <= last_printable && letter != '"' &&
               letter != '\\';
    });
    if (plain) {
        line += '"';
        line += text;
        line += '"';
    } else {
        line += nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    }
}

void append_value(std::string& line, const line_field::variant& value)
{
    std::visit(
        [&line](const auto& held) {
            using type = std::decay_t<decltype(held)>;
            if constexpr (std::is_same_v<type, std::string_view>) {
                append_text(line, held);
            } else if constexpr (std::is_same_v<type, double>) {
                line += nlohmann::json(held).dump();
            } else {
                fmt::format_to(std::back_inserter(line), "{}", held);
            }
        },
        value);
}

std::string make_line(std::int64_t wall_us, std::string_view vm, log_level level,
                      std::string_view part, std::string_view event,
                      std::initializer_list<line_field> fields)
{
    std::string line;
    fmt::format_to(std::back_inserter(line), R"({{"time_us":{},"vm":)", wall_us);
    append_text(line, vm);
    fmt::format_to(std::back_inserter(line), R"(,"level":"{}","part":)",
                   level_names.at(static_cast<std::size_t>(level)));
    append_text(line, part);
    line += R"(,"event":)";
    append_text(line, event);
    for (const auto& field : fields) {
        line += ',';
        append_text(line, field.name());
        line += ':';
        append_value(line, field.value());
    }
    line += "}\n";
    return line;
}

void refill_budgets(line_log& log, std::int64_t now_us)
{
    const auto elapsed_s = static_cast<double>(now_us - log.refilled_us) / microseconds_per_second;
    const auto& options = log.options;
    log.refilled_us = now_us;
    log.shared.refill(elapsed_s, options.lines_per_s, options.burst_lines);
    log.reserved.refill(elapsed_s, options.reserved_lines_per_s, options.reserved_burst_lines);
}

/// Takes one line out of the budgets. Decisive ones use what is reserved for them first.
bool take_budget(line_log& log, line_weight weight)
{
    return (weight == line_weight::decisive && log.reserved.take()) || log.shared.take();
}

bool has_waiting_room(const line_log& log, std::size_t bytes, line_weight weight)
{
    const auto reserved =
        weight == line_weight::decisive ? log.options.reserved_waiting_bytes : std::size_t{0};
    return log.waiting.size() + bytes <= log.options.max_waiting_bytes + reserved;
}

void count_left_out(line_log& log, std::string_view event, line_weight weight)
{
    ++(weight == line_weight::decisive ? log.left_out.decisive : log.left_out.routine);
    const auto known = log.left_out_events.find(event);
    if (known != log.left_out_events.end()) {
        ++known->second;
    } else if (log.left_out_events.size() < max_counted_events) {
        log.left_out_events.emplace(event, 1);
    } else {
        ++log.left_out_events[std::string{other_events}];
    }
}

/// Says now and then which lines were left out since the last report.
void report_left_out(line_log& log, std::int64_t now_us)
{
    if (log.left_out_events.empty() || now_us - log.reported_us < report_interval_us) {
        return;
    }
    const auto routine = log.left_out.routine - log.reported.routine;
    const auto decisive = log.left_out.decisive - log.reported.decisive;
    std::string events;
    for (const auto& [event, count] : log.left_out_events) {
        events += fmt::format("{}{}={}", events.empty() ? "" : " ", event, count);
    }
    const auto line = make_line(now_us, log.vm, log_level::warning, "log", "lines_left_out",
                                {{"count", routine + decisive},
                                 {"decisive", decisive},
                                 {"routine", routine},
                                 {"events", events}});
    if (!has_waiting_room(log, line.size(), line_weight::decisive)) {
        return;
    }
    log.waiting += line;
    log.reported = log.left_out;
    log.reported_us = now_us;
    log.left_out_events.clear();
}

/// The waiting lines that one write call takes: whole ones, or the beginning of a longer line.
std::string_view next_write(std::string_view waiting)
{
    if (waiting.size() <= max_write_bytes) {
        return waiting;
    }
    const auto last_end = waiting.rfind('\n', max_write_bytes - 1);
    return waiting.substr(0, last_end == std::string_view::npos ? max_write_bytes : last_end + 1);
}

} // namespace

void start_event_lines(std::string_view vm, const event_line_options& options)
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    log.vm = vm;
    log.options = options;
    log.shared.lines = options.burst_lines;
    log.reserved.lines = options.reserved_burst_lines;
    log.refilled_us = wall_clock_us();
    log.left_out = {};
    log.reported = {};
    log.reported_us = 0;
    log.left_out_events.clear();
    log.started = true;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void write_event_line(log_level level, std::string_view part, std::string_view event,
                      std::initializer_list<line_field> fields, line_weight weight)
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    if (!log.started || level < log.options.least) {
        return;
    }
    if (level >= log_level::warning) {
        weight = line_weight::decisive;
    }
    const auto now_us = wall_clock_us();
    refill_budgets(log, now_us);
    if (!take_budget(log, weight)) {
        count_left_out(log, event, weight);
        return;
    }
    const auto line = make_line(now_us, log.vm, level, part, event, fields);
    if (has_waiting_room(log, line.size(), weight)) {
        log.waiting += line;
    } else {
        count_left_out(log, event, weight);
    }
}

bool flush_event_lines()
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    if (!log.left_out_events.empty()) {
        report_left_out(log, wall_clock_us());
    }
    std::string_view left = log.waiting;
    while (!left.empty()) {
        const auto lines = next_write(left);
        const auto written = ::write(STDOUT_FILENO, lines.data(), lines.size());
        if (written > 0) {
            left.remove_prefix(static_cast<std::size_t>(written));
        } else if (written == 0 || errno != EINTR) {
            // The reader is slow or gone; what waits is bounded and counted.
            break;
        }
    }
    log.waiting.erase(0, log.waiting.size() - left.size());
    return log.waiting.empty();
}

left_out_lines event_lines_left_out()
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    return log.left_out;
}

} // namespace poplarstile::base
