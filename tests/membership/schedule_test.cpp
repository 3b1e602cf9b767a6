// Random schedules of faults: what must hold whatever the network does.
#include "membership/message_bag.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace poplarstile::membership
{
namespace
{

using peer::member_state;
using std::chrono::seconds;

/// A live VM that can be reached is held to be dead for no longer than this.
constexpr milliseconds wrongly_dead_bound{10'000};

/// A dead VM is known to be dead everywhere within this, at the losses below.
constexpr milliseconds detection_bound{20'000};

/// After the faults end, everybody sees everybody again within this.
constexpr milliseconds heal_bound{60'000};

/// A leaving VM is known everywhere within this, at the losses below.
constexpr milliseconds leave_bound{3'000};

network_faults any_faults(double max_loss)
{
    network_faults faults;
    faults.loss = max_loss * *rc::gen::inRange(0, 101) / 100.0;
    faults.duplication = *rc::gen::inRange(0, 50) / 100.0;
    faults.max_delay = milliseconds{*rc::gen::inRange(2, 80)};
    return faults;
}

message_bag any_bag(std::size_t vms)
{
    message_bag bag{*rc::gen::arbitrary<std::uint32_t>()};
    bag.start_many(vms, 3);
    RC_ASSERT(bag.run_until(heal_bound, [&] { return bag.agreed(); }));
    return bag;
}

std::string any_vm(const message_bag& bag)
{
    return *rc::gen::elementOf(bag.running());
}

/// The longest time for which an observer held a running VM to be dead.
milliseconds longest_wrongly_dead(const message_bag& bag)
{
    std::map<std::pair<std::string, std::string>, time_point> since;
    milliseconds longest{0};
    const auto close = [&](const auto& pair, time_point at) {
        const auto begun = since.find(pair);
        if (begun != since.end()) {
            longest =
                std::max(longest, std::chrono::duration_cast<milliseconds>(at - begun->second));
            since.erase(begun);
        }
    };
    for (const auto& seen : bag.sightings) {
        const std::pair key{seen.observer, seen.what.now_is.vm};
        if (seen.what.now_is.state == member_state::dead) {
            since.emplace(key, seen.at);
        } else {
            close(key, seen.at);
        }
    }
    const auto open = since;
    for (const auto& [pair, at] : open) {
        close(pair, bag.now());
    }
    return longest;
}

/// Whether an observer ever saw a smaller incarnation of a VM after a greater one.
bool incarnation_went_back(const message_bag& bag)
{
    std::map<std::pair<std::string, std::string>, std::uint64_t> greatest;
    for (const auto& seen : bag.sightings) {
        auto& last = greatest[{seen.observer, seen.what.now_is.vm}];
        if (seen.what.now_is.incarnation < last) {
            return true;
        }
        last = seen.what.now_is.incarnation;
    }
    return false;
}

RC_GTEST_PROP(membership_schedule, live_vm_is_not_held_dead_for_long, ())
{
    auto bag = any_bag(8);
    bag.faults = any_faults(0.2);

    bag.run_for(seconds{120});

    RC_ASSERT(longest_wrongly_dead(bag) <= wrongly_dead_bound);
    RC_ASSERT(!incarnation_went_back(bag));
}

RC_GTEST_PROP(membership_schedule, dead_vm_is_detected_in_time, ())
{
    auto bag = any_bag(8);
    bag.faults = any_faults(0.1);
    bag.run_for(seconds{10});
    const auto victim = any_vm(bag);

    bag.kill(victim);
    const auto took = bag.run_until(
        detection_bound, [&] { return bag.holders_of(victim, member_state::dead) == 7; });

    RC_ASSERT(took);
}

RC_GTEST_PROP(membership_schedule, leaving_vm_is_known_in_time, ())
{
    auto bag = any_bag(8);
    bag.faults = any_faults(0.1);
    bag.run_for(seconds{10});
    const auto leaver = any_vm(bag);

    bag.give(leaver, leave_requested{bag.now()});
    const auto took = bag.run_until(
        leave_bound, [&] { return bag.holders_of(leaver, member_state::leaving) == 8; });

    RC_ASSERT(took);
}

// Pauses, partitions, one-way cuts and restarts in any order; then calm.
RC_GTEST_PROP(membership_schedule, everyone_agrees_again_after_any_faults, ())
{
    auto bag = any_bag(8);
    std::uint64_t incarnation = 1;
    const auto steps = *rc::gen::inRange(1, 6);
    for (int step = 0; step < steps; ++step) {
        bag.faults = any_faults(0.3);
        const auto vm = any_vm(bag);
        const auto other = any_vm(bag);
        const auto span = seconds{*rc::gen::inRange(1, 25)};
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            bag.freeze(vm);
            bag.run_for(span);
            bag.thaw(vm);
            break;
        case 1:
            bag.faults.is_cut = [vm](const auto& from, const auto& to) {
                return (from == vm) != (to == vm);
            };
            bag.run_for(span);
            break;
        case 2:
            bag.faults.is_cut = [vm, other](const auto& from, const auto& to) {
                return from == vm && to == other;
            };
            bag.run_for(span);
            break;
        default:
            bag.kill(vm);
            bag.run_for(span);
            bag.start(vm, "d" + std::to_string(std::stoi(vm.substr(2)) % 3), ++incarnation);
            break;
        }
    }

    bag.faults = {};
    const auto healed = bag.run_until(heal_bound, [&] { return bag.agreed(); });

    RC_ASSERT(healed);
    RC_ASSERT(!incarnation_went_back(bag));
}

struct cost {
    std::uint64_t mean{};
    std::uint64_t greatest{};
};

/// Tells every VM of every other, as a page for a joining VM would, so that no joins are measured.
void introduce_all(message_bag& bag)
{
    peer::members_reply page{.from = "vm000"};
    for (const auto& vm : bag.running()) {
        const auto facts = bag.at(vm).find(vm);
        page.updates.push_back({.vm = vm,
                                .failure_domain = facts->failure_domain,
                                .address = vm,
                                .incarnation = facts->incarnation});
    }
    for (const auto& vm : bag.running()) {
        bag.give(vm, message_received{bag.now(), page});
    }
}

/// Bytes a second, sent plus received, of a settled group.
cost cost_of(std::size_t vms)
{
    constexpr std::uint64_t measured_s = 10;
    message_bag bag{vms};
    bag.start_many(vms, 3);
    introduce_all(bag);
    for (const auto& vm : bag.running()) {
        bag.give(vm, lease_observed{bag.now(), {"d0", "vm000", 70'000}});
        bag.give(vm, lease_observed{bag.now(), {"d1", "vm001", 70'000}});
        bag.give(vm, lease_observed{bag.now(), {"d2", "vm002", 70'000}});
    }
    EXPECT_TRUE(bag.agreed()) << vms << " VMs";
    bag.run_for(seconds{10});
    bag.bytes.clear();
    bag.run_for(seconds{measured_s});
    cost found;
    for (const auto& [vm, bytes] : bag.bytes) {
        found.mean += bytes / measured_s / vms;
        found.greatest = std::max(found.greatest, bytes / measured_s);
    }
    fmt::print("{:4} VMs: {} B/s mean, {} B/s greatest, sent and received\n", vms, found.mean,
               found.greatest);
    return found;
}

TEST(membership_cost, bytes_do_not_grow_with_the_group)
{
    constexpr std::uint64_t budget = 3'000;
    const auto small = cost_of(8);
    const auto middle = cost_of(64);
    const auto large = cost_of(512);

    EXPECT_LT(small.greatest, budget);
    EXPECT_LT(middle.greatest, budget);
    EXPECT_LT(large.greatest, budget);
    EXPECT_LT(large.mean, small.mean * 5 / 4) << "the cost of a VM must be flat";
}

} // namespace
} // namespace poplarstile::membership
