#include "store/store_clock_reading.hpp"
#include "support/fake_store.hpp"

#include <gtest/gtest.h>

namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using base::store_time;
using std::chrono::seconds;

class store_clock_reading : public testing::Test
{
protected:
    void note(std::optional<milliseconds> told)
    {
        reading->note(told ? std::optional{store_time{*told}} : std::nullopt, time.now());
    }

    virtual_time time{};
    std::shared_ptr<store::store_clock_reading> reading =
        std::make_shared<store::store_clock_reading>();
};

TEST_F(store_clock_reading, IsUnknownBeforeTheFirstReplyThatTellsIt)
{
    note(std::nullopt);

    EXPECT_EQ(reading->newest(), std::nullopt);
    EXPECT_EQ(reading->estimate(time.now()), std::nullopt);
}

TEST_F(store_clock_reading, AReplyWithoutATimeDoesNotResetIt)
{
    note(seconds{50});
    note(std::nullopt);

    EXPECT_EQ(reading->newest(), store_time{seconds{50}});
}

TEST_F(store_clock_reading, AnOvertakenReplyDoesNotSetItBack)
{
    note(seconds{50});
    time.run_for(seconds{1});
    note(seconds{49});

    EXPECT_EQ(reading->newest(), store_time{seconds{50}});
    EXPECT_EQ(reading->estimate(time.now()), store_time{seconds{51}});
}

TEST_F(store_clock_reading, GoesOnWithTheOwnClockBetweenReplies)
{
    note(seconds{50});
    time.run_for(seconds{60});

    EXPECT_EQ(reading->newest(), store_time{seconds{50}});
    EXPECT_EQ(reading->estimate(time.now()), store_time{seconds{110}});
}

TEST_F(store_clock_reading, EveryKindOfReplyTellsIt)
{
    fake_store store{time};
    const auto rows = store::with_clock_reading(store.port("vm"), time.timers(), reading);
    const auto told_after = [&](const std::function<void()>& call) {
        time.run_for(seconds{1});
        const auto before = reading->newest();
        call();
        time.run_for(milliseconds{50});
        return reading->newest() != before;
    };

    EXPECT_TRUE(told_after([&] { rows.read({"t", "p", {}, {}, 1}, [](const auto&) {}); }));
    EXPECT_TRUE(told_after([&] { rows.follow({"t", 0, {}}, [](const auto&) {}); }));
    EXPECT_TRUE(told_after([&] {
        rows.commit({{}, {{{"t", "p", "k"}, "v"}}, {}}, [](const auto&) {});
    }));
    EXPECT_TRUE(told_after([&] {
        rows.commit({{{{"t", "p", "k"}, 99}}, {}, {}}, [](const auto&) {});
    })) << "a conflict";
}

} // namespace
} // namespace poplarstile::tests
