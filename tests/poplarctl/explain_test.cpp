#include "poplarctl/explain.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>

namespace poplarstile::poplarctl
{
namespace
{

constexpr const char* logs =
    R"(  12.1 vm-2 {"time_us":20000000,"vm":"vm-2","level":"info","part":"orders","event":"run_ended","job":"j1","task":"j1.0.0.0","worker":"w1","how":"lost","cause":"lease_over"}
collector: rotated
{"time_us":10000000,"vm":"vm-1","level":"info","part":"door","event":"answered","job":"j1","call":"submit","outcome":"accepted"}
{"time_us":11000000,"vm":"vm-1","level":"info","part":"door","event":"answered","job":"j2","call":"submit","outcome":"accepted"}
{"time_us":15000000,"vm":"vm-2","level":"warning","part":"workers","event":"worker_silent","worker":"w1"}
{"time_us":15500000,"vm":"vm-2","level":"warning","part":"workers","event":"worker_silent","worker":"w9"}
{"time_us":12000000,"vm":"vm-2","level":"info","part":"leader","event":"took_over","epoch":5}
{"time_us":90000000,"vm":"vm-2","level":"info","part":"leader","event":"took_over","epoch":6}
{"cut off
)";

std::vector<log_line> lines_of(const char* text)
{
    std::istringstream stream{text};
    return read_log(stream);
}

std::vector<std::string> events_of(const std::vector<log_line>& lines)
{
    std::vector<std::string> events;
    events.reserve(lines.size());
    for (const auto& line : lines) {
        events.push_back(line.at("event"));
    }
    return events;
}

TEST(explain, ReadsLinesBehindACollectorsWordsAndPassesOverTheRest)
{
    EXPECT_EQ(lines_of(logs).size(), 7U);
}

TEST(explain, TellsTheJobItsWorkersAndWhoLedMeanwhileInTheirOrder)
{
    EXPECT_THAT(events_of(lines_about(lines_of(logs), "j1")),
                testing::ElementsAre("answered", "took_over", "worker_silent", "run_ended"));
}

TEST(explain, CountsTimeFromTheJobsFirstLine)
{
    const auto text = explain(lines_about(lines_of(logs), "j1"), "j1");

    EXPECT_THAT(text, testing::HasSubstr("+10000 ms  vm-2"));
    EXPECT_THAT(text, testing::HasSubstr("cause=lease_over"));
}

TEST(explain, TellsOfTheWorkerOnWhichAnUnknownRunWasGivenUp)
{
    constexpr const char* unknown_run = R"(
{"time_us":20000000,"vm":"vm-2","event":"address_taken","worker":"w2"}
{"time_us":21000000,"vm":"vm-2","event":"unknown_run_stopped","job":"j1","task":"j1.0.0.0","run":1,"worker":"w1","given_up_on":"w2"}
{"time_us":21000000,"vm":"vm-2","event":"worker_listed","worker":"w1"}
{"time_us":21000000,"vm":"vm-2","event":"worker_listed","worker":"w3"}
{"time_us":24000000,"vm":"vm-2","event":"work_waits","job":"j1","cause":"isolation_limit"}
)";
    EXPECT_THAT(events_of(lines_about(lines_of(unknown_run), "j1")),
                testing::ElementsAre("address_taken", "unknown_run_stopped", "worker_listed",
                                     "work_waits"));
}

TEST(explain, SaysWhenNoLineNamesTheJob)
{
    EXPECT_EQ(explain(lines_about(lines_of(logs), "j"), "j"), "no line names job j\n");
}

} // namespace
} // namespace poplarstile::poplarctl
