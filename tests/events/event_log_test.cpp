#include "events/event_log.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace poplarstile::events
{
namespace
{

constexpr std::int64_t wall_us = 1'764'825'600'000'000;

std::unique_ptr<event_log> make_log(std::size_t capacity)
{
    return std::move(event_log::create("vm1", capacity)).value();
}

TEST(event_log, refuses_to_keep_nothing)
{
    EXPECT_FALSE(event_log::create("vm1", 0));
}

TEST(event_log, pages_through_in_order)
{
    const auto log = make_log(8);
    for (int i = 0; i < 5; ++i) {
        log->append({.part = "lease", .kind = "renewed", .subject = "d0"}, wall_us);
    }

    const auto page = log->read_after(1, std::nullopt, 3);

    ASSERT_EQ(page.events.size(), 3U);
    EXPECT_EQ(page.events.front().seq, 2U);
    EXPECT_EQ(page.events.back().seq, 4U);
    EXPECT_LT(page.events[0].hlc, page.events[1].hlc) << "one wall time, rising stamps";
}

TEST(event_log, counts_what_it_overwrote)
{
    const auto log = make_log(2);
    for (int i = 0; i < 5; ++i) {
        log->append({.part = "lease"}, wall_us);
    }

    const auto page = log->read_after(0, std::nullopt, 10);

    EXPECT_EQ(page.dropped, 3U);
    ASSERT_EQ(page.events.size(), 2U);
    EXPECT_EQ(page.events.front().seq, 4U);
}

TEST(event_log, filters_by_subject_and_cause)
{
    const auto log = make_log(8);
    log->append({.kind = "placed", .subject = "job-1", .cause = "rule-2"}, wall_us);
    log->append({.kind = "placed", .subject = "job-2", .cause = "job-1"}, wall_us);
    log->append({.kind = "placed", .subject = "job-3"}, wall_us);

    EXPECT_EQ(log->read_after(0, "job-1", 10).events.size(), 2U);
    EXPECT_EQ(log->read_after(0, "rule-2", 10).events.size(), 1U);
    EXPECT_EQ(log->read_after(0, "job-9", 10).events.size(), 0U);
}

TEST(event_log, loses_nothing_between_threads)
{
    constexpr std::size_t each = 500;
    const auto log = make_log(4 * each);
    const auto write = [&log] {
        for (std::size_t i = 0; i < each; ++i) {
            log->append({.part = "dispatch"}, wall_us);
        }
    };
    std::thread first{write};
    std::thread second{write};
    first.join();
    second.join();

    const auto page = log->read_after(0, std::nullopt, 4 * each);

    ASSERT_EQ(page.events.size(), 2 * each);
    for (std::size_t i = 1; i < page.events.size(); ++i) {
        EXPECT_GT(page.events[i].hlc, page.events[i - 1].hlc) << "at " << i;
    }
}

} // namespace
} // namespace poplarstile::events
