#include "soak/soak_faults.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace
{

using namespace poplarstile;
using soak::fault_kind;

const std::vector<std::string> vms{"vm1", "vm2"};
const std::vector<std::string> workers{"w1", "w2"};
constexpr base::milliseconds span{20'000};

TEST(plan_faults, same_seed_gives_the_same_plan)
{
    const auto first = soak::plan_faults(7, vms, workers, span);
    const auto second = soak::plan_faults(7, vms, workers, span);

    ASSERT_EQ(first.size(), second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(describe(first.at(index)), describe(second.at(index)));
    }
}

TEST(plan_faults, seeds_differ)
{
    const auto first = soak::plan_faults(7, vms, workers, span);
    const auto second = soak::plan_faults(8, vms, workers, span);

    EXPECT_NE(describe(first.front()), describe(second.front()));
}

TEST(plan_faults, faults_come_in_order_within_the_span_and_overlap)
{
    const auto faults = soak::plan_faults(3, vms, workers, span);
    bool overlap = false;

    for (std::size_t index = 1; index < faults.size(); ++index) {
        const auto& before = faults.at(index - 1);
        EXPECT_GE(faults.at(index).at, before.at);
        overlap = overlap || faults.at(index).at < before.at + before.lasts;
    }

    EXPECT_LT(faults.back().at, span);
    EXPECT_TRUE(overlap);
}

TEST(plan_faults, every_kind_comes_over_some_seeds)
{
    std::set<fault_kind> seen;

    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        for (const auto& fault : soak::plan_faults(seed, vms, workers, span)) {
            seen.insert(fault.kind);
        }
    }

    EXPECT_TRUE(seen.contains(fault_kind::power_lost));
    EXPECT_TRUE(seen.contains(fault_kind::worker_calls));
    EXPECT_EQ(seen.size(), 17U);
}

TEST(plan_faults, faults_of_workers_name_one)
{
    for (const auto& fault : soak::plan_faults(5, vms, workers, span)) {
        const bool of_worker =
            fault.kind == fault_kind::worker_crashed || fault.kind == fault_kind::worker_calls;
        if (of_worker) {
            EXPECT_THAT(workers, testing::Contains(fault.worker));
        }
    }
}

TEST(plan_capacity_changes, same_seed_gives_the_same_plan_apart_from_the_other_faults)
{
    const auto faults = soak::plan_faults(7, vms, workers, span);
    const auto changes = soak::plan_capacity_changes(7, workers, span);
    const auto both = soak::merge_plans(faults, changes);
    std::vector<std::string> others;

    for (const auto& fault : both) {
        if (fault.kind != fault_kind::worker_shrunk) {
            others.push_back(describe(fault));
        }
    }

    ASSERT_FALSE(changes.empty());
    EXPECT_EQ(describe(changes.front()),
              describe(soak::plan_capacity_changes(7, workers, span).front()));
    ASSERT_EQ(others.size(), faults.size());
    for (std::size_t index = 0; index < faults.size(); ++index) {
        EXPECT_EQ(others.at(index), describe(faults.at(index)));
    }
}

TEST(plan_capacity_changes, workers_shrink_in_order_within_the_span)
{
    const auto both = soak::merge_plans(soak::plan_faults(3, vms, workers, span),
                                        soak::plan_capacity_changes(3, workers, span));

    EXPECT_TRUE(std::ranges::is_sorted(both, {}, &soak::planned_fault::at));
    for (const auto& fault : soak::plan_capacity_changes(3, workers, span)) {
        EXPECT_THAT(workers, testing::Contains(fault.worker));
        EXPECT_LT(fault.percent, 100);
        EXPECT_LT(fault.at, span);
    }
}

TEST(plan_lapsing_registrations, same_seed_gives_the_same_plan_within_the_span)
{
    const auto first = soak::plan_lapsing_registrations(7, workers, span);
    const auto second = soak::plan_lapsing_registrations(7, workers, span);

    ASSERT_FALSE(first.empty());
    ASSERT_EQ(first.size(), second.size());
    EXPECT_TRUE(std::ranges::is_sorted(first, {}, &soak::planned_fault::at));
    EXPECT_LT(first.back().at, span);
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(describe(first.at(index)), describe(second.at(index)));
    }
}

TEST(plan_lapsing_registrations, both_lapses_and_refused_links_come_over_some_seeds)
{
    std::set<fault_kind> seen;
    bool refused = false;

    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        for (const auto& fault : soak::plan_lapsing_registrations(seed, workers, span)) {
            seen.insert(fault.kind);
            refused = refused || fault.variant == "refuse";
            if (fault.kind != fault_kind::registrations_lapsed) {
                EXPECT_THAT(workers, testing::Contains(fault.worker));
            }
        }
    }

    EXPECT_THAT(seen, testing::UnorderedElementsAre(
                          fault_kind::registrations_lapsed, fault_kind::worker_cut_off,
                          fault_kind::worker_serving_out, fault_kind::worker_link));
    EXPECT_TRUE(refused);
}

TEST(plan_handovers, same_seed_gives_the_same_plan_within_the_span)
{
    const auto first = soak::plan_handovers(7, workers, span);
    const auto second = soak::plan_handovers(7, workers, span);

    ASSERT_EQ(first.size(), second.size());
    EXPECT_TRUE(std::ranges::is_sorted(first, {}, &soak::planned_fault::at));
    EXPECT_LT(first.back().at, span);
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(describe(first.at(index)), describe(second.at(index)));
    }
}

TEST(plan_handovers, leaders_end_in_series_in_every_way_beside_late_orders)
{
    std::set<fault_kind> seen;
    std::set<std::string> variants;

    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::size_t of_leaders = 0;
        for (const auto& fault : soak::plan_handovers(seed, workers, span)) {
            seen.insert(fault.kind);
            if (fault.kind == fault_kind::worker_calls) {
                EXPECT_THAT(workers, testing::Contains(fault.worker));
                variants.insert(fault.variant);
            } else {
                EXPECT_EQ(fault.vm, soak::leading_vm);
                of_leaders += fault.kind == fault_kind::store_calls ? 0 : 1;
            }
        }
        EXPECT_GE(of_leaders, 5U);
    }

    EXPECT_THAT(seen, testing::UnorderedElementsAre(
                          fault_kind::vm_terminated, fault_kind::vm_killed, fault_kind::vm_paused,
                          fault_kind::store_calls, fault_kind::worker_calls));
    EXPECT_THAT(variants, testing::UnorderedElementsAre("some_late", "some_lost", "swallow"));
}

TEST(plan_rebirths, same_seed_gives_the_same_plan_within_the_span)
{
    const auto first = soak::plan_rebirths(7, workers, span);
    const auto second = soak::plan_rebirths(7, workers, span);

    ASSERT_EQ(first.size(), second.size());
    EXPECT_TRUE(std::ranges::is_sorted(first, {}, &soak::planned_fault::at));
    for (std::size_t index = 0; index < first.size(); ++index) {
        EXPECT_EQ(describe(first.at(index)), describe(second.at(index)));
    }
}

TEST(plan_rebirths, several_workers_at_once_come_back_behind_cuts_of_one_to_two_seconds)
{
    const std::vector<std::string> many{"w1", "w2", "w3", "w4",  "w5",  "w6",
                                        "w7", "w8", "w9", "w10", "w11", "w12"};
    std::map<base::milliseconds, std::set<std::string>> struck;
    std::set<std::string> variants;

    for (const auto& fault : soak::plan_rebirths(3, many, span)) {
        if (fault.kind == fault_kind::worker_reborn_apart) {
            EXPECT_TRUE(struck[fault.at].insert(fault.worker).second);
            EXPECT_GE(fault.lasts, base::milliseconds{1'000});
            EXPECT_LE(fault.lasts, base::milliseconds{2'000});
            EXPECT_LE(fault.delay, fault.lasts);
            variants.insert(fault.variant);
        }
    }

    EXPECT_GE(struck.size(), 4U);
    for (const auto& [at, together] : struck) {
        EXPECT_GE(together.size(), 2U);
    }
    EXPECT_GT(variants.size(), 1U);
}

} // namespace
