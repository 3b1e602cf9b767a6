#include "base/event_line.hpp"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
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

} // namespace
} // namespace poplarstile::base
