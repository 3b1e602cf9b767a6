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
#include <mutex>

namespace poplarstile::base
{
namespace
{

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};
constexpr double microseconds_per_second = 1e6;
/// Bytes that a pipe takes whole or not at all.
constexpr std::size_t max_write_bytes = PIPE_BUF;

/// The process's log: lines that wait for standard output, and the budget that bounds them.
struct line_log {
    std::mutex mutex;
    event_line_options options;
    std::string vm;
    std::string waiting;
    double budget = 0.0;
    std::int64_t refilled_us = 0;
    std::uint64_t left_out = 0;
    std::uint64_t reported = 0;
    bool started = false;
};

line_log& the_log()
{
    static line_log log;
    return log;
}

nlohmann::ordered_json to_json(const line_field& field)
{
    return std::visit(
        [](const auto& value) -> nlohmann::ordered_json {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, std::string_view>) {
                return std::string{value};
            } else {
                return value;
            }
        },
        field.value());
}

std::string make_line(std::int64_t wall_us, std::string_view vm, log_level level,
                      std::string_view part, std::string_view event,
                      std::initializer_list<line_field> fields)
{
    nlohmann::ordered_json line;
    line["time_us"] = wall_us;
    line["vm"] = vm;
    line["level"] = level_names.at(static_cast<std::size_t>(level));
    line["part"] = part;
    line["event"] = event;
    for (const auto& field : fields) {
        line[std::string{field.name()}] = to_json(field);
    }
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + '\n';
}

/// Takes one line out of the budget.
bool take_budget(line_log& log, std::int64_t now_us)
{
    const auto elapsed_s = static_cast<double>(now_us - log.refilled_us) / microseconds_per_second;
    log.refilled_us = now_us;
    log.budget =
        std::min(log.options.burst_lines, log.budget + elapsed_s * log.options.lines_per_s);
    if (log.budget < 1.0) {
        return false;
    }
    log.budget -= 1.0;
    return true;
}

void append_line(line_log& log, const std::string& line)
{
    if (log.waiting.size() + line.size() > log.options.max_waiting_bytes) {
        ++log.left_out;
        return;
    }
    log.waiting += line;
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
    log.budget = options.burst_lines;
    log.refilled_us = wall_clock_us();
    log.started = true;
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        (void)fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
}

void write_event_line(log_level level, std::string_view part, std::string_view event,
                      std::initializer_list<line_field> fields)
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    if (!log.started || level < log.options.least) {
        return;
    }
    const auto now_us = wall_clock_us();
    if (!take_budget(log, now_us)) {
        ++log.left_out;
        return;
    }
    if (log.left_out > log.reported) {
        const auto count = log.left_out - log.reported;
        log.reported = log.left_out;
        append_line(log, make_line(now_us, log.vm, log_level::warning, "log", "lines_left_out",
                                   {{"count", count}}));
    }
    append_line(log, make_line(now_us, log.vm, level, part, event, fields));
}

bool flush_event_lines()
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
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

std::uint64_t event_lines_left_out()
{
    auto& log = the_log();
    const std::lock_guard lock{log.mutex};
    return log.left_out;
}

} // namespace poplarstile::base
