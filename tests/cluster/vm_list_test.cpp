#include "cluster/vm_list.hpp"

#include "cluster/cluster_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace poplarstile::tests
{
namespace
{

using cluster::listed_vms;
using cluster::received_vms;
using cluster::vm_entry;
using cluster::vm_list_change;

vm_entry make_vm(int number, std::uint64_t incarnation = 1)
{
    const auto name = "vm" + std::to_string(number);
    return {name, incarnation, "10.0.0." + std::to_string(number) + ":8526", "domain", 250, 0};
}

std::vector<vm_entry> make_vms(int count)
{
    std::vector<vm_entry> vms;
    vms.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        vms.push_back(make_vm(number));
    }
    return vms;
}

std::map<std::string, vm_entry> by_address(const std::vector<vm_entry>& vms)
{
    std::map<std::string, vm_entry> result;
    for (const auto& vm : vms) {
        result.emplace(vm.address, vm);
    }
    return result;
}

TEST(vm_list, AReceiverWithoutAListGetsAllOfIt)
{
    listed_vms listed;
    listed.set(make_vms(300));
    received_vms received;

    EXPECT_TRUE(received.apply(7, listed.since(received.version(7))));
    EXPECT_EQ(received.vms(), by_address(make_vms(300)));
}

TEST(vm_list, AnUnchangedListIsNotSentAgain)
{
    listed_vms listed;
    listed.set(make_vms(300));
    received_vms received;
    received.apply(7, listed.since(0));
    listed.set(make_vms(300));

    const auto change = listed.since(received.version(7));

    EXPECT_TRUE(change.added.empty());
    EXPECT_TRUE(change.removed.empty());
}

TEST(vm_list, TheSizeOfAHeartbeatDoesNotGrowWithTheNumberOfVms)
{
    const auto bytes_with = [](int vms) {
        listed_vms listed;
        listed.set(make_vms(vms));
        cluster::leader_heartbeat heartbeat;
        heartbeat.vms = listed.since(listed.since(0).version);
        return cluster::encode(heartbeat).value().size();
    };

    EXPECT_EQ(bytes_with(300), bytes_with(10));
}

TEST(vm_list, OnlyTheChangedVmsAreSent)
{
    listed_vms listed;
    auto vms = make_vms(10);
    listed.set(vms);
    received_vms received;
    received.apply(7, listed.since(0));
    vms.erase(vms.begin());
    vms.front().incarnation = 2;
    listed.set(vms);

    const auto change = listed.since(received.version(7));

    EXPECT_EQ(change.added, std::vector{make_vm(1, 2)});
    EXPECT_EQ(change.removed, std::vector{make_vm(0).address});
    EXPECT_TRUE(received.apply(7, change));
    EXPECT_EQ(received.vms(), by_address(vms));
}

TEST(vm_list, AListOfAnotherLeaderIsReplacedAndNeverChanged)
{
    listed_vms first;
    first.set(make_vms(4));
    received_vms received;
    received.apply(7, first.since(0));
    listed_vms second;
    second.set(make_vms(2));
    second.set(make_vms(3));

    EXPECT_EQ(received.version(8), 0U);
    EXPECT_FALSE(received.apply(8, second.since(1)));
    EXPECT_EQ(received.vms().size(), 4U);
    EXPECT_TRUE(received.apply(8, second.since(received.version(8))));
    EXPECT_EQ(received.vms(), by_address(make_vms(3)));
    EXPECT_FALSE(received.apply(7, first.since(0)));
}

TEST(vm_list, AReceiverThatMissedManyRemovalsGetsTheWholeList)
{
    listed_vms listed;
    listed.set(make_vms(1'200));
    received_vms received;
    received.apply(7, listed.since(0));
    for (int left = 1'199; left > 0; left -= 100) {
        listed.set(make_vms(left));
    }

    EXPECT_TRUE(received.apply(7, listed.since(received.version(7))));
    EXPECT_EQ(received.vms(), by_address(make_vms(99)));
}

/// Heartbeats are lost, delayed, repeated and overtaken. The list that a VM has is always one that
/// the leader had, and it is the newest one after an exchange without faults.
RC_GTEST_PROP(vm_list_model, FollowsTheLeaderWhateverHappensToHeartbeats, ())
{
    listed_vms listed;
    received_vms received;
    std::map<std::uint64_t, std::map<std::string, vm_entry>> history;
    std::deque<vm_list_change> delayed;
    std::uint64_t confirmed = 0;
    const auto apply = [&](const vm_list_change& change) {
        received.apply(7, change);
        const auto version = received.version(7);
        if (version > 0) {
            RC_ASSERT(received.vms() == history.at(version));
        }
    };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 5)) {
        case 0: {
            std::vector<vm_entry> vms;
            for (const auto number : *rc::gen::unique<std::vector<int>>(rc::gen::inRange(0, 12))) {
                vms.push_back(make_vm(number, *rc::gen::inRange<std::uint64_t>(1, 3)));
            }
            listed.set(vms);
            history[listed.since(0).version] = by_address(vms);
            break;
        }
        case 1:
            delayed.push_back(listed.since(confirmed));
            break;
        case 2:
            if (!delayed.empty()) {
                const auto position = *rc::gen::inRange<std::size_t>(0, delayed.size());
                apply(delayed.at(position));
            }
            break;
        case 3:
            confirmed = received.version(7);
            break;
        default:
            if (!delayed.empty()) {
                delayed.pop_front();
            }
            break;
        }
    }
    confirmed = received.version(7);
    apply(listed.since(confirmed));
    const auto newest = listed.since(0).version;
    RC_ASSERT(received.version(7) == newest);
    if (newest > 0) {
        RC_ASSERT(received.vms() == history.at(newest));
    }
}

} // namespace
} // namespace poplarstile::tests
