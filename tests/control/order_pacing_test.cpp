#include "control/order_pacing.hpp"

#include <gtest/gtest.h>

#include <random>

namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using base::time_point;
using control::order_pacing;

class order_pacing_test : public testing::Test
{
protected:
    /// Records answers that each took the same time, one every millisecond.
    void record(int answers, milliseconds took)
    {
        for (int answer = 0; answer < answers; ++answer) {
            now_ += milliseconds{1};
            pacing.record(now_, took);
        }
    }

    static constexpr std::uint32_t thin_link_kbit = 2'000;
    static constexpr std::uint32_t wide_link_kbit = 200'000;

    order_pacing pacing{thin_link_kbit};

private:
    time_point now_{milliseconds{1'000'000}};
};

TEST_F(order_pacing_test, AnOrderIsSentAgainSoonWhileWorkersAnswerQuickly)
{
    EXPECT_EQ(pacing.retry_after(), milliseconds{300});
    record(100, milliseconds{5});
    EXPECT_EQ(pacing.retry_after(), milliseconds{300});
    EXPECT_EQ(pacing.poll_margin(), milliseconds{600});
}

TEST_F(order_pacing_test, NoOrderIsSentAgainWhileAllAnswersAreSlow)
{
    // A link of 250 KB/s with 300 KB of orders before each.
    record(100, milliseconds{1'200});

    EXPECT_GE(pacing.retry_after(), milliseconds{1'200});
    EXPECT_GE(pacing.poll_margin(), milliseconds{2'400});
}

TEST_F(order_pacing_test, AnswersOfVaryingTimesLeaveAMargin)
{
    std::minstd_rand random{1};
    std::uniform_int_distribution<int> times{100, 900};
    for (int answer = 0; answer < 500; ++answer) {
        record(1, milliseconds{times(random)});
    }

    EXPECT_GE(pacing.retry_after(), milliseconds{900});
}

TEST_F(order_pacing_test, OrdersAreSentAgainSoonOnceAnswersAreQuickAgain)
{
    record(100, milliseconds{1'500});
    record(60, milliseconds{5});

    EXPECT_EQ(pacing.retry_after(), milliseconds{300});
}

TEST_F(order_pacing_test, NoAnswerIsAwaitedForLongerThanTheBounds)
{
    record(100, milliseconds{60'000});

    EXPECT_EQ(pacing.retry_after(), milliseconds{2'000});
    EXPECT_EQ(pacing.poll_margin(), milliseconds{2'500});
}

TEST_F(order_pacing_test, FewerStartsAreUnderWayWhileAnswersAreSlow)
{
    record(100, milliseconds{5});
    const auto before = pacing.max_starts();
    EXPECT_GE(before, 100U) << "workers answer quickly";
    record(3'000, milliseconds{800});

    EXPECT_LT(pacing.max_starts(), before);
    EXPECT_GE(pacing.max_starts(), 16U) << "work still starts";

    const auto reduced = pacing.max_starts();
    record(3'000, milliseconds{5});
    EXPECT_GT(pacing.max_starts(), reduced);
}

TEST_F(order_pacing_test, TheAnswersOfOneBurstReduceTheLimitOnce)
{
    record(100, milliseconds{5});
    const auto before = pacing.max_starts();
    record(200, milliseconds{600});

    EXPECT_GE(pacing.max_starts(), before * 6 / 10);
}

TEST_F(order_pacing_test, AWideLinkKeepsMoreStartsUnderWayThanAThinOne)
{
    order_pacing wide{wide_link_kbit};
    for (int answer = 1; answer < 3'000; ++answer) {
        wide.record(time_point{milliseconds{1'000'000 + answer}}, milliseconds{800});
    }
    record(3'000, milliseconds{800});

    EXPECT_GT(wide.max_starts(), pacing.max_starts());
}

} // namespace
} // namespace poplarstile::tests
