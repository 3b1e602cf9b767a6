#include "fleet/worker_clock.hpp"

#include <gtest/gtest.h>

namespace poplarstile::fleet
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

const base::time_point start{seconds{100}};

TEST(worker_clock, AnUnknownClockHasNotPassedAnything)
{
    const worker_clock clock;

    EXPECT_FALSE(clock.known());
    EXPECT_EQ(clock.surely_passed(0), base::time_point::max());
}

TEST(worker_clock, ALeaseIsNeverShorterThanAsked)
{
    worker_clock clock;
    clock.observe(1'000, start, start + milliseconds{40});

    // The reading may be as old as the call; the clock may have gone on since.
    EXPECT_EQ(clock.lease_until(start + seconds{1}, seconds{6}), 8'000);
}

TEST(worker_clock, ASlowClockTakesLongerToPassALease)
{
    worker_clock clock;
    clock.observe(1'000, start, start + milliseconds{40});

    const auto passed = clock.surely_passed(10'800);

    EXPECT_EQ(passed, start + milliseconds{40} + milliseconds{10'000});
}

TEST(worker_clock, ALeaseInThePastPassedWhenTheClockWasRead)
{
    worker_clock clock;
    clock.observe(1'000, start, start + milliseconds{40});

    EXPECT_EQ(clock.surely_passed(500), start + milliseconds{40});
}

TEST(worker_clock, AnAnswerThatWasOvertakenIsNotNews)
{
    worker_clock clock;
    clock.observe(2'000, start + seconds{1}, start + seconds{1});
    clock.observe(1'000, start, start + seconds{2});

    EXPECT_EQ(clock.latest_reading(start + seconds{1}), 2'000);
}

TEST(worker_clock, TheEarliestReadingIsThatOfASlowClockReadWhenTheAnswerCame)
{
    worker_clock clock;
    clock.observe(1'000, start, start + seconds{2});

    EXPECT_EQ(clock.earliest_reading(start + seconds{2}), 1'000);
    EXPECT_EQ(clock.earliest_reading(start + seconds{102}), 99'000);
    EXPECT_EQ(clock.latest_reading(start + seconds{102}), 103'000);
}

} // namespace
} // namespace poplarstile::fleet
