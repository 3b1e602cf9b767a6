#include "placement/topology.hpp"

#include <gtest/gtest.h>

namespace poplarstile::placement
{
namespace
{

std::vector<worker_hardware> rack_of(const std::string& rack, std::uint32_t workers,
                                     std::uint32_t accelerators)
{
    std::vector<worker_hardware> hardware;
    for (std::uint32_t at = 0; at < workers; ++at) {
        hardware.push_back({rack + "-" + std::to_string(at), rack, at, accelerators});
    }
    return hardware;
}

void append(std::vector<worker_hardware>& to, const std::vector<worker_hardware>& more)
{
    to.insert(to.end(), more.begin(), more.end());
}

TEST(topology, joins_equal_whole_racks_into_one_line)
{
    auto workers = rack_of("r1", 8, 8);
    append(workers, rack_of("r2", 8, 8));

    const auto hardware = topology::create(workers);

    ASSERT_EQ(hardware.lines().size(), 1U);
    EXPECT_TRUE(hardware.can_hold({16, 8}));
    EXPECT_FALSE(hardware.can_hold({17, 8}));
}

TEST(topology, parts_a_rack_at_a_gap_and_where_workers_differ)
{
    auto workers = rack_of("r1", 6, 8);
    workers[2].position = 10;
    workers[5].accelerators = 4;

    const auto hardware = topology::create(workers);

    // Positions 0, 1, then 3, 4, then 5 with fewer accelerators, then 10.
    ASSERT_EQ(hardware.lines().size(), 4U);
    EXPECT_TRUE(hardware.can_hold({2, 8}));
    EXPECT_FALSE(hardware.can_hold({4, 8}));
}

TEST(topology, holds_a_shape_that_ends_where_its_line_ends)
{
    const auto hardware = topology::create(rack_of("r1", 6, 8));

    EXPECT_TRUE(hardware.can_hold({5, 8}));
    EXPECT_FALSE(hardware.can_hold({7, 8}));
}

TEST(topology, keeps_members_on_single_workers)
{
    const auto hardware = topology::create(rack_of("r1", 4, 2));

    EXPECT_FALSE(hardware.can_hold({1, 4})) << "no worker has four accelerators";
    EXPECT_TRUE(hardware.can_hold({4, 2}));

    const auto places = member_places(hardware, {0, 0, 3}, {4, 2});
    ASSERT_EQ(places.size(), 4U);
    EXPECT_EQ(places[3].worker, 3U);
    EXPECT_EQ(places[3].accelerators, (std::vector<std::uint32_t>{0, 1}));
}

TEST(topology, refers_to_workers_in_the_order_of_racks_and_positions)
{
    std::vector<worker_hardware> workers{{"b2", "b", 2, 8}, {"a1", "a", 1, 8}, {"b1", "b", 1, 8}};

    const auto hardware = topology::create(workers);

    EXPECT_EQ(hardware.workers()[0].id, "b1") << "racks keep the order of their first mention";
    EXPECT_EQ(hardware.workers()[1].id, "b2");
    EXPECT_EQ(hardware.workers()[2].id, "a1");
}

} // namespace
} // namespace poplarstile::placement
