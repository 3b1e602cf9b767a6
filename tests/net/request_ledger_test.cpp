#include "net/request_ledger.hpp"

#include <gtest/gtest.h>

/// Which connections a port closes to stay within its memory and connections.
namespace poplarstile::net
{
namespace
{

constexpr std::size_t kib = 1'024;
constexpr base::time_point start{};

base::time_point at_ms(std::int64_t ms)
{
    return start + base::milliseconds{ms};
}

request_ledger make_ledger(std::size_t max_bytes, std::size_t max_connections)
{
    return request_ledger{{max_bytes, max_connections, base::milliseconds{5'000}}};
}

using connections = std::vector<request_ledger::connection>;

// Guards against a sum of unfinished bodies that grows with the number of connections.
TEST(request_ledger, ManyUnendedBodiesNeverTakeMoreThanTheBound)
{
    constexpr request_ledger::connection crowd = 200;
    auto ledger = make_ledger(64 * kib, crowd);
    std::size_t closed = 0;
    for (std::int64_t round = 1; round <= 20; ++round) {
        for (request_ledger::connection each = 1; each <= crowd; ++each) {
            (void)ledger.open(each, at_ms(round));
            for (const auto excess :
                 ledger.receive(each, static_cast<std::size_t>(round) * kib, at_ms(round))) {
                ledger.close(excess);
                ++closed;
            }
            ASSERT_LE(ledger.held_bytes(), 64 * kib);
        }
    }
    EXPECT_GT(closed, 0U);
}

// Guards against closing an ordinary request that has just begun in place of one that hangs.
TEST(request_ledger, TheOneWithoutProgressForLongestIsClosedFirst)
{
    auto ledger = make_ledger(10 * kib, 10);
    for (request_ledger::connection each = 1; each <= 3; ++each) {
        (void)ledger.open(each, start);
    }
    EXPECT_TRUE(ledger.receive(1, 4 * kib, at_ms(1)).empty());
    EXPECT_TRUE(ledger.receive(2, 4 * kib, at_ms(2)).empty());
    EXPECT_TRUE(ledger.receive(1, 5 * kib, at_ms(3)).empty());

    EXPECT_EQ(ledger.receive(3, 2 * kib, at_ms(4)), connections{2});
}

// Guards against closing connections that have nothing to free.
TEST(request_ledger, OneThatHoldsNothingIsNotClosedForMemory)
{
    auto ledger = make_ledger(10 * kib, 10);
    (void)ledger.open(1, start);
    (void)ledger.open(2, start);
    EXPECT_TRUE(ledger.receive(1, 0, at_ms(1)).empty());

    EXPECT_EQ(ledger.receive(2, 11 * kib, at_ms(2)), connections{2});
}

// Guards against memory that complete requests take while they wait for their answers.
TEST(request_ledger, RequestsThatAreHandledCountAndAreNotClosed)
{
    auto ledger = make_ledger(10 * kib, 10);
    (void)ledger.open(1, start);
    (void)ledger.open(2, start);
    EXPECT_TRUE(ledger.receive(1, 8 * kib, at_ms(1)).empty());
    ledger.complete(1, at_ms(1));
    ledger.handle(8 * kib);
    EXPECT_EQ(ledger.held_bytes(), 8 * kib);

    EXPECT_EQ(ledger.receive(2, 3 * kib, at_ms(2)), connections{2});

    ledger.finish(8 * kib);
    EXPECT_TRUE(ledger.receive(2, 3 * kib, at_ms(3)).empty());
}

// Guards against a crowd that connects and takes the places of callers that were served before.
TEST(request_ledger, ACrowdThatOnlyConnectsDisplacesItselfAndNotServedCallers)
{
    auto ledger = make_ledger(10 * kib, 3);
    EXPECT_FALSE(ledger.open(1, start));
    ledger.complete(1, at_ms(1));
    ledger.wait(1, at_ms(1));
    EXPECT_FALSE(ledger.open(2, at_ms(2)));
    EXPECT_FALSE(ledger.open(3, at_ms(3)));

    EXPECT_EQ(ledger.open(4, at_ms(4)), 2U);
    ledger.close(2);
    EXPECT_EQ(ledger.open(5, at_ms(5)), 3U);
}

// Guards against closing a connection whose caller waits for an answer.
TEST(request_ledger, ANewConnectionIsClosedWhenAllOthersWaitForTheirAnswers)
{
    auto ledger = make_ledger(10 * kib, 1);
    EXPECT_FALSE(ledger.open(1, start));
    ledger.complete(1, at_ms(1));
    EXPECT_EQ(ledger.open(2, at_ms(2)), 2U);
    ledger.close(2);
    ledger.wait(1, at_ms(3));

    EXPECT_EQ(ledger.open(3, at_ms(4)), 1U);
}

// Guards against callers who keep all connections because they read none of their answers.
TEST(request_ledger, TheAnswerThatIsUnreadForLongestGoesFirst)
{
    auto ledger = make_ledger(10 * kib, 3);
    for (request_ledger::connection each = 1; each <= 3; ++each) {
        EXPECT_FALSE(ledger.open(each, start));
    }
    ledger.complete(2, at_ms(1));
    ledger.answer(2, at_ms(2));
    ledger.complete(3, at_ms(1));
    ledger.answer(3, at_ms(1));

    EXPECT_EQ(ledger.open(4, at_ms(1'002)), 3U) << "connection 1 has not even sent a request";
    ledger.close(3);
    EXPECT_EQ(ledger.open(5, at_ms(1'002)), 2U);
}

// Guards against answers that are cut off while their callers read them.
TEST(request_ledger, AnAnswerThatIsBeingReadGoesAfterQuietConnections)
{
    auto ledger = make_ledger(10 * kib, 2);
    EXPECT_FALSE(ledger.open(1, start));
    EXPECT_FALSE(ledger.open(2, start));
    ledger.complete(1, at_ms(1));
    ledger.answer(1, at_ms(2));
    ledger.answer(1, at_ms(1'500));

    EXPECT_EQ(ledger.open(3, at_ms(2'000)), 2U);
}

// Guards against new callers who find no connection beside some that send call after call.
TEST(request_ledger, AnAnswerThatIsBeingSentGoesBeforeANewConnection)
{
    auto ledger = make_ledger(10 * kib, 2);
    EXPECT_FALSE(ledger.open(1, start));
    EXPECT_FALSE(ledger.open(2, start));
    ledger.complete(1, at_ms(1));
    ledger.complete(2, at_ms(1));
    ledger.answer(2, at_ms(2));

    EXPECT_EQ(ledger.open(3, at_ms(3)), 2U);
}

// Guards against a caller whose answer was taken and who is treated as if it were not.
TEST(request_ledger, AConnectionThatWaitsAgainIsNotUnread)
{
    auto ledger = make_ledger(10 * kib, 2);
    EXPECT_FALSE(ledger.open(1, start));
    ledger.complete(1, at_ms(1));
    ledger.answer(1, at_ms(2));
    ledger.wait(1, at_ms(3));
    EXPECT_FALSE(ledger.open(2, at_ms(4)));

    EXPECT_EQ(ledger.open(3, at_ms(5'000)), 2U);
}

// Guards against bodies that stop short of their end and keep their memory for good.
TEST(request_ledger, OnlyIncompleteRequestsWithoutProgressAreStalled)
{
    auto ledger = make_ledger(10 * kib, 10);
    for (request_ledger::connection each = 1; each <= 3; ++each) {
        (void)ledger.open(each, start);
    }
    (void)ledger.receive(1, kib, at_ms(0));
    (void)ledger.receive(2, kib, at_ms(0));
    (void)ledger.receive(2, 2 * kib, at_ms(4'000));

    EXPECT_TRUE(ledger.stalled(at_ms(4'999)).empty());
    EXPECT_EQ(ledger.stalled(at_ms(5'000)), connections{1});
    ledger.close(1);
    ledger.complete(2, at_ms(5'000));
    EXPECT_TRUE(ledger.stalled(at_ms(60'000)).empty());
}

// Guards against an estimate below what RESTinio keeps for each chunk.
TEST(request_ledger, SmallChunksCostMoreThanTheirData)
{
    const auto whole = memory_of({.body_bytes = 256 * kib, .chunks = 1});
    const auto split = memory_of({.body_bytes = 256 * kib, .chunks = 256 * kib});

    EXPECT_GE(whole, 512 * kib);
    EXPECT_GE(split - whole, 256 * kib * 2 * sizeof(std::size_t));
}

} // namespace
} // namespace poplarstile::net
