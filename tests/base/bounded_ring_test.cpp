#include "base/bounded_ring.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <thread>

namespace poplarstile::base
{
namespace
{

auto soon()
{
    return std::chrono::steady_clock::now() + std::chrono::milliseconds{20};
}

TEST(bounded_ring, refuses_when_full)
{
    bounded_ring<int> ring{2};

    EXPECT_TRUE(ring.try_push(1));
    EXPECT_TRUE(ring.try_push(2));

    EXPECT_FALSE(ring.try_push(3)) << "a full ring must push back on its producer";
}

TEST(bounded_ring, keeps_order)
{
    bounded_ring<int> ring{2};
    ASSERT_TRUE(ring.try_push(1));
    ASSERT_TRUE(ring.try_push(2));

    EXPECT_EQ(ring.pop_until(soon()), 1);
    EXPECT_EQ(ring.pop_until(soon()), 2);
    EXPECT_EQ(ring.pop_until(soon()), std::nullopt);
}

TEST(bounded_ring, push_waits_for_room)
{
    bounded_ring<int> ring{1};
    ASSERT_TRUE(ring.try_push(1));
    std::thread producer{[&ring] { ring.push(2); }};

    EXPECT_EQ(ring.pop_until(soon()), 1);
    EXPECT_EQ(ring.pop_until(std::chrono::steady_clock::now() + std::chrono::seconds{5}), 2);
    producer.join();
}

TEST(bounded_ring, close_keeps_what_is_inside)
{
    bounded_ring<int> ring{2};
    ASSERT_TRUE(ring.try_push(1));

    ring.close();

    EXPECT_FALSE(ring.try_push(2));
    EXPECT_EQ(ring.pop_until(soon()), 1);
    EXPECT_EQ(ring.pop_until(soon()), std::nullopt);
}

} // namespace
} // namespace poplarstile::base
