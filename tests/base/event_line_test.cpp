#include "base/event_line.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

/// Lines of events reach whoever reads standard output whole.
namespace poplarstile::base
{
namespace
{

/// Standard output as a pipe that keeps what each write call wrote apart.
class packet_output
{
public:
    packet_output()
    {
        std::array<int, 2> ends{};
        EXPECT_EQ(pipe2(ends.data(), O_DIRECT | O_NONBLOCK | O_CLOEXEC), 0);
        reading_ = ends[0];
        dup2(ends[1], STDOUT_FILENO);
        close(ends[1]);
    }
    ~packet_output()
    {
        dup2(former_, STDOUT_FILENO);
        close(former_);
        close(reading_);
    }
    packet_output(const packet_output&) = delete;
    packet_output& operator=(const packet_output&) = delete;

    [[nodiscard]] std::vector<std::string> packets() const
    {
        std::vector<std::string> found;
        std::array<char, 65'536> buffer{};
        for (;;) {
            const auto bytes = read(reading_, buffer.data(), buffer.size());
            if (bytes <= 0) {
                return found;
            }
            found.emplace_back(buffer.data(), static_cast<std::size_t>(bytes));
        }
    }

private:
    int former_ = dup(STDOUT_FILENO);
    int reading_ = -1;
};

TEST(event_lines, ABurstIsWrittenInWholeLines)
{
    constexpr int lines = 150;
    std::vector<std::string> packets;
    {
        const packet_output output;
        start_event_lines("vm1", {});
        for (int number = 0; number < lines; ++number) {
            write_event_line(log_level::info, "leader", "job_known", {{"number", number}});
        }
        EXPECT_TRUE(flush_event_lines());
        packets = output.packets();
    }
    std::string text;
    for (const auto& packet : packets) {
        EXPECT_TRUE(packet.ends_with('\n')) << "a write of " << packet.size() << " bytes";
        text += packet;
    }
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), lines);
}

TEST(event_lines, ALineLongerThanOneWriteIsNotLost)
{
    const std::string detail(10'000, 'x');
    std::string text;
    {
        const packet_output output;
        start_event_lines("vm1", {});
        write_event_line(log_level::info, "leader", "short", {});
        write_event_line(log_level::info, "leader", "long", {{"detail", std::string_view{detail}}});
        EXPECT_TRUE(flush_event_lines());
        for (const auto& packet : output.packets()) {
            text += packet;
        }
    }
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2);
    EXPECT_NE(text.find(detail), std::string::npos);
}

/// Everything that was written while the log had these options.
std::string text_written(const event_line_options& options, const std::function<void()>& write)
{
    std::string text;
    const packet_output output;
    start_event_lines("vm1", options);
    write();
    while (!flush_event_lines()) {
        for (const auto& packet : output.packets()) {
            text += packet;
        }
    }
    for (const auto& packet : output.packets()) {
        text += packet;
    }
    return text;
}

std::size_t count_of(std::string_view text, std::string_view part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

constexpr event_line_options narrow{.lines_per_s = 0.0,
                                    .burst_lines = 10.0,
                                    .reserved_lines_per_s = 0.0,
                                    .reserved_burst_lines = 20.0};

TEST(event_lines, RoutineLinesLeaveTheReserveToDecisiveOnes)
{
    constexpr int lines = 15;
    const auto text = text_written(narrow, [] {
        const event_logger log{"orders"};
        for (int number = 0; number < lines; ++number) {
            log.info("answered", {{"number", number}});
        }
        for (int number = 0; number < lines; ++number) {
            log.keep("run_given_up", {{"number", number}});
        }
        log.warning("unknown_run_stopped", {});
    });
    EXPECT_EQ(count_of(text, R"("event":"answered")"), 10U);
    EXPECT_EQ(count_of(text, R"("event":"run_given_up")"), 15U);
    EXPECT_EQ(count_of(text, R"("event":"unknown_run_stopped")"), 1U);
    EXPECT_EQ(event_lines_left_out().routine, 5U);
    EXPECT_EQ(event_lines_left_out().decisive, 0U);
}

TEST(event_lines, DecisiveLinesAreBoundedAndTheReportSaysWhichWereLeftOut)
{
    constexpr int lines = 100;
    const auto text = text_written(narrow, [] {
        const event_logger log{"orders"};
        for (int number = 0; number < lines; ++number) {
            log.keep("start_sent", {{"number", number}});
        }
        log.info("answered", {});
    });
    EXPECT_EQ(count_of(text, R"("event":"start_sent")"), 30U);
    EXPECT_EQ(event_lines_left_out().decisive, 70U);
    EXPECT_EQ(event_lines_left_out().routine, 1U);
    EXPECT_NE(text.find(R"("event":"lines_left_out","count":71,"decisive":70,"routine":1,)"
                        R"("events":"answered=1 start_sent=70")"),
              std::string::npos)
        << text;
}

TEST(event_lines, ASlowReaderCostsRoutineLinesBeforeDecisiveOnes)
{
    constexpr std::size_t room = 4'000;
    constexpr int lines = 30;
    event_line_options options;
    options.max_waiting_bytes = room;
    options.reserved_waiting_bytes = room;
    const auto text = text_written(options, [] {
        const event_logger log{"orders"};
        for (int number = 0; number < lines; ++number) {
            log.info("answered", {{"number", number}, {"detail", std::string(200, 'x')}});
        }
        log.keep("run_ended", {});
    });
    EXPECT_GT(event_lines_left_out().routine, 0U);
    EXPECT_EQ(count_of(text, R"("event":"run_ended")"), 1U);
}

TEST(event_lines, EveryValueIsReadBackFromItsLine)
{
    const std::string odd = "tab\t quote\" back\\ umlaut \xc3\xa4 broken \xff";
    const auto text = text_written({}, [&odd] {
        write_event_line(log_level::info, "part", "event",
                         {{"text", odd}, {"flag", true}, {"number", -7}, {"share", 0.5}});
    });
    const auto line = nlohmann::json::parse(text);
    EXPECT_EQ(line.at("text"), "tab\t quote\" back\\ umlaut \xc3\xa4 broken \xef\xbf\xbd");
    EXPECT_EQ(line.at("flag"), true);
    EXPECT_EQ(line.at("number"), -7);
    EXPECT_EQ(line.at("share"), 0.5);
    EXPECT_EQ(line.at("level"), "info");
    EXPECT_EQ(line.at("vm"), "vm1");
}

} // namespace
} // namespace poplarstile::base
