#include "events/event.hpp"

#include <gtest/gtest.h>

namespace poplarstile::events
{
namespace
{

event sample()
{
    return {.seq = 3,
            .hlc = stamp_at(1'764'825'600'000) + 5,
            .wall_us = 1'764'825'600'000'123,
            .process = "vm1",
            .part = "lease",
            .kind = "taken_over",
            .subject = "d0",
            .cause = "vm2",
            .detail = "silent for 4 s"};
}

TEST(event_json, survives_the_round_trip)
{
    const auto text = to_json_value(sample()).dump();

    const auto read = event_from_json(nlohmann::json::parse(text));

    ASSERT_TRUE(read) << base::describe(read.error());
    EXPECT_EQ(read.value(), sample());
}

TEST(event_json, names_the_member_that_is_wrong)
{
    for (const auto* name :
         {"seq", "hlc", "wall_us", "process", "part", "kind", "subject", "cause", "detail"}) {
        auto value = to_json_value(sample());
        value[name] = nullptr;

        const auto read = event_from_json(value);

        ASSERT_FALSE(read) << name;
        EXPECT_EQ(read.error().place, std::string{"event."} + name);
    }
    EXPECT_FALSE(event_from_json(nlohmann::json::array()));
}

TEST(time_line, orders_causes_before_effects_in_spite_of_wall_clocks)
{
    constexpr std::int64_t slow_by_ms = 40;
    hybrid_logical_clock fast;
    hybrid_logical_clock slow;
    auto cause = sample();
    cause.hlc = fast.tick(1'000);
    EXPECT_TRUE(slow.observe(cause.hlc, 1'000 - slow_by_ms));
    auto effect = sample();
    effect.process = "vm0";
    effect.hlc = slow.tick(1'001 - slow_by_ms);

    const auto merged = merge_time_line({effect, cause, effect});

    ASSERT_EQ(merged.size(), 2U) << "an event read from two places is shown once";
    EXPECT_EQ(merged[0], cause);
    EXPECT_EQ(merged[1], effect);
}

} // namespace
} // namespace poplarstile::events
