#include "placement/cell_index.hpp"

#include "placement/naive_cells.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace poplarstile::placement
{
namespace
{

TEST(cell_index, takes_the_smallest_cell_that_fits)
{
    std::vector<worker_hardware> workers;
    for (std::uint32_t at = 0; at < 4; ++at) {
        workers.push_back({"w" + std::to_string(at), "rack", at, 8});
    }
    const auto hardware = topology::create(workers);
    cell_index index{hardware};
    for (std::uint32_t at = 0; at < 32; ++at) {
        index.set({0, at}, at != 20);
    }

    const auto one = index.best_fit({0, 0});
    const auto eight = index.best_fit({3, 3});

    EXPECT_EQ(one, (cell{0, 21, 0})) << "the rest of the broken pair, not a whole worker";
    EXPECT_EQ(eight, (cell{0, 24, 3})) << "beside the broken worker, not out of the whole pair";
}

RC_GTEST_PROP(cell_index, agrees_with_linear_scan, ())
{
    const auto hardware = topology::create(testing::arbitrary_workers(4, 16));
    cell_index index{hardware};
    testing::place_set places;
    const auto all = testing::all_places(hardware);
    const auto steps = testing::any_in(1, 200);
    for (int step = 0; step < steps; ++step) {
        const auto place = *rc::gen::elementOf(all);
        const bool member = *rc::gen::weightedElement<bool>({{4, true}, {1, false}});
        index.set({place.first, place.second}, member);
        if (member) {
            places.insert(place);
        } else {
            places.erase(place);
        }
    }
    for (std::uint32_t level = 0; level <= hardware.top_level(); ++level) {
        for (std::uint32_t width = 0; width <= std::min(level, 3U); ++width) {
            const cell_need need{level, width};
            const auto cells = testing::cells_in(hardware, places, need);
            std::uint32_t counted = 0;
            for (auto wide = width; wide <= index.top_width_level(); ++wide) {
                counted += index.count(wide, level);
            }
            RC_ASSERT(counted == cells.size());
            const auto found = index.best_fit(need);
            RC_ASSERT(found.has_value() == !cells.empty());
            if (found) {
                RC_ASSERT(std::ranges::count(cells, *found) == 1);
            }
        }
    }
}

} // namespace
} // namespace poplarstile::placement
