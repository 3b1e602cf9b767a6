#include "events/hybrid_logical_clock.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarstile::events
{
namespace
{

TEST(hybrid_logical_clock, follows_the_wall_clock)
{
    hybrid_logical_clock clock;

    EXPECT_EQ(clock.tick(1'000), stamp_at(1'000));
    EXPECT_EQ(clock.tick(2'000), stamp_at(2'000));
}

TEST(hybrid_logical_clock, rises_when_the_wall_clock_steps_back)
{
    hybrid_logical_clock clock;
    const auto before = clock.tick(2'000);

    const auto after = clock.tick(1'000);

    EXPECT_EQ(after, before + 1);
    EXPECT_EQ(physical_ms(after), 2'000);
    EXPECT_EQ(logical_count(after), 1U);
}

TEST(hybrid_logical_clock, ignores_stamps_from_the_far_future)
{
    hybrid_logical_clock clock;

    EXPECT_FALSE(clock.observe(stamp_at(1'000 + hlc_max_ahead_ms + 1), 1'000));

    EXPECT_EQ(clock.tick(1'000), stamp_at(1'000)) << "one wrong clock must not move all others";
}

RC_GTEST_PROP(hybrid_logical_clock, every_stamp_is_greater_than_all_before, ())
{
    hybrid_logical_clock clock;
    hlc_stamp last = 0;
    const auto times = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 100'000));
    for (const auto wall_ms : times) {
        const auto received = stamp_at(*rc::gen::inRange(1, 100'000));
        const bool followed = clock.observe(received, wall_ms);
        const auto stamp = clock.tick(wall_ms);
        RC_ASSERT(stamp > last);
        RC_ASSERT(!followed || stamp > received);
        last = stamp;
    }
}

} // namespace
} // namespace poplarstile::events
