#include "membership/membership.hpp"

#include "membership/message_bag.hpp"

#include <gtest/gtest.h>

namespace poplarstile::membership
{
namespace
{

using peer::member_state;
using std::chrono::seconds;

constexpr std::uint64_t random_seed = 7;

/// The promise is that a leaving VM gets no new work after this time.
constexpr milliseconds leave_bound{3'000};

message_bag agreed_bag(std::size_t vms, std::size_t domains)
{
    message_bag bag{random_seed};
    bag.start_many(vms, domains);
    EXPECT_TRUE(bag.run_until(seconds{60}, [&] { return bag.agreed(); }))
        << "the VMs must find each other from their seeds";
    bag.run_for(seconds{5});
    return bag;
}

TEST(membership_settings, refuses_what_cannot_hold)
{
    const self_description self{"vm0", "d0", "127.0.0.1:1", 1};

    const auto late = create({.probe_timeout = milliseconds{600}}, self, {}, 1);
    const auto hasty = create({.suspicion_min = milliseconds{500}}, self, {}, 1);
    const auto nameless = create({}, {}, {}, 1);

    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().place, "membership.probe_timeout");
    ASSERT_FALSE(hasty);
    EXPECT_EQ(hasty.error().code, base::error_code::settings_contradictory);
    ASSERT_FALSE(nameless);
    EXPECT_EQ(nameless.error().code, base::error_code::settings_out_of_range);
}

TEST(membership, vms_find_each_other_from_seeds)
{
    auto bag = agreed_bag(8, 3);

    EXPECT_TRUE(bag.agreed());
    EXPECT_EQ(bag.at("vm000").live("d0").size(), 3U) << "vm000, vm003 and vm006";
}

TEST(membership, dead_vm_is_detected_everywhere)
{
    auto bag = agreed_bag(8, 3);

    bag.kill("vm004");
    const auto took = bag.run_until(
        seconds{15}, [&] { return bag.holders_of("vm004", member_state::dead) == 7; });

    ASSERT_TRUE(took);
    RecordProperty("detection_ms", std::to_string(took->count()));
    EXPECT_LE(*took, seconds{10});
}

TEST(membership, leaving_is_known_everywhere_in_time)
{
    auto bag = agreed_bag(8, 3);

    bag.give("vm004", leave_requested{bag.now()});
    const auto took = bag.run_until(
        leave_bound, [&] { return bag.holders_of("vm004", member_state::leaving) == 8; });

    ASSERT_TRUE(took);
    for (const auto& vm : bag.running()) {
        for (const auto& each : bag.at(vm).live("d1")) {
            EXPECT_NE(each.vm, "vm004") << vm << " would still give it work";
        }
    }
}

TEST(membership, leaving_is_never_taken_back_by_the_same_process)
{
    auto bag = agreed_bag(8, 3);
    bag.faults.loss = 0.3;

    bag.give("vm004", leave_requested{bag.now()});
    bag.run_for(seconds{60});

    for (const auto& seen : bag.sightings) {
        const bool returned = seen.what.now_is.vm == "vm004" &&
                              seen.what.was == member_state::leaving &&
                              seen.what.now_is.state != member_state::dead;
        EXPECT_FALSE(returned) << "seen by " << seen.observer;
    }
}

TEST(membership, paused_vm_blames_itself)
{
    auto bag = agreed_bag(8, 3);
    bag.sightings.clear();

    bag.freeze("vm003");
    bag.run_for(seconds{20});
    bag.thaw("vm003");
    const auto back = bag.run_until(seconds{15}, [&] { return bag.agreed(); });

    EXPECT_TRUE(back) << "the others must take it back";
    ASSERT_EQ(bag.pauses.size(), 1U);
    EXPECT_EQ(bag.pauses[0].first, "vm003");
    EXPECT_GE(bag.pauses[0].second.gap, seconds{19});
    for (const auto& seen : bag.sightings) {
        const bool blamed =
            seen.observer == "vm003" && seen.what.now_is.state == member_state::dead;
        EXPECT_FALSE(blamed) << "declared " << seen.what.now_is.vm << " dead after its own pause";
    }
}

// A silence shorter than the shortest suspicion must be forgiven, however many probes it costs.
TEST(membership, short_silence_is_not_death)
{
    auto bag = agreed_bag(8, 3);
    bag.sightings.clear();

    bag.faults.is_cut = [](const auto& from, const auto& to) {
        return (from == "vm003") != (to == "vm003");
    };
    bag.run_for(milliseconds{1'200});
    bag.faults.is_cut = {};
    bag.run_for(seconds{20});

    EXPECT_FALSE(bag.sightings.empty()) << "the silence must at least raise suspicion";
    for (const auto& seen : bag.sightings) {
        EXPECT_NE(seen.what.now_is.state, member_state::dead)
            << seen.observer << " gave up " << seen.what.now_is.vm;
    }
}

TEST(membership, domains_find_each_other_after_a_partition)
{
    auto bag = agreed_bag(8, 3);
    const auto is_d0 = [](const std::string& vm) {
        return vm == "vm000" || vm == "vm003" || vm == "vm006";
    };

    bag.faults.is_cut = [&](const auto& from, const auto& to) { return is_d0(from) != is_d0(to); };
    bag.run_for(seconds{60});
    EXPECT_EQ(bag.at("vm000").live("d0").size(), 3U) << "a cut-off domain keeps its own VMs";
    EXPECT_EQ(bag.holders_of("vm001", member_state::dead), 3U) << "d0 can't reach vm001";
    bag.faults.is_cut = {};
    const auto healed = bag.run_until(seconds{60}, [&] { return bag.agreed(); });

    ASSERT_TRUE(healed);
    RecordProperty("heal_ms", std::to_string(healed->count()));
}

// A sees C and B sees C, but A and B don't see each other: nobody may vanish from C's sight.
TEST(membership, partial_cut_does_not_spread_to_those_who_see_both)
{
    auto bag = agreed_bag(9, 3);
    bag.sightings.clear();
    const auto domain = [](const std::string& vm) { return std::stoi(vm.substr(2)) % 3; };

    bag.faults.is_cut = [&](const auto& from, const auto& to) {
        return domain(from) + domain(to) == 1 && domain(from) != domain(to);
    };
    bag.run_for(seconds{60});

    for (const auto& seen : bag.sightings) {
        const bool vanished =
            domain(seen.observer) == 2 && seen.what.now_is.state == member_state::dead;
        EXPECT_FALSE(vanished) << seen.observer << " lost " << seen.what.now_is.vm;
    }
}

TEST(membership, lagging_list_does_not_bring_back_the_dead)
{
    auto bag = agreed_bag(8, 3);
    bag.kill("vm004");
    bag.run_for(seconds{15});

    for (const auto& vm : bag.running()) {
        bag.give(vm, vm_list_received{bag.now(), {{"vm004", "d1", "vm004"}}});
    }
    bag.run_for(seconds{30});

    EXPECT_EQ(bag.holders_of("vm004", member_state::dead), 7U);
}

TEST(membership, new_process_of_a_dead_vm_is_taken_in)
{
    auto bag = agreed_bag(8, 3);
    bag.kill("vm004");
    bag.run_for(seconds{15});

    bag.start("vm004", "d1", 2);

    EXPECT_TRUE(bag.run_until(seconds{15}, [&] { return bag.agreed(); }));
}

TEST(membership, newer_rules_and_leases_are_pointed_out)
{
    auto bag = agreed_bag(8, 3);

    bag.give("vm000", rules_in_force{bag.now(), 42});
    bag.give("vm000", lease_observed{bag.now(), {"d0", "vm003", 5}});
    bag.run_for(seconds{10});

    const auto leases = bag.at("vm005").leases();
    ASSERT_EQ(leases.size(), 1U);
    EXPECT_EQ(leases[0], (peer::lease_view{"d0", "vm003", 5}));
    EXPECT_EQ(bag.at("vm005").find("vm000")->rules_version, 42U);
}

} // namespace
} // namespace poplarstile::membership
