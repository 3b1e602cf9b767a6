#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <algorithm>

/// Which other VMs a VM knows when the site runs for longer than a VM is remembered.
namespace poplarstile::tests
{
namespace
{

using std::chrono::seconds;

/// A VM that is gone is forgotten by all after this time: once by the leader, then by the others.
constexpr seconds forgotten_by_all{200};

class known_vms : public testing::Test
{
protected:
    [[nodiscard]] std::string follower()
    {
        const auto leader = site.leading_vm()->name;
        return leader == "vm1" ? "vm2" : "vm1";
    }

    site_fixture site;
};

TEST_F(known_vms, ALeaderThatIsElectedLateForgetsNoVmThatIsCutOffForAMoment)
{
    for (const auto* const name : {"vm1", "vm2", "vm3"}) {
        site.start(name);
    }
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(seconds{100});
    site.stop(site.leading_vm()->name);
    ASSERT_TRUE(site.time.run_until([&] { return site.elected_vm() != nullptr; }, seconds{8}));
    const auto leader = site.elected_vm()->name;

    for (const auto* const name : {"vm1", "vm2", "vm3"}) {
        site.cut(leader, name);
    }
    site.time.run_for(seconds{1});

    EXPECT_EQ(site.at(leader).node->known_vms(), 2U);
}

TEST_F(known_vms, AFollowerForgetsVmsThatWereReplaced)
{
    site.start("vm1");
    site.start("vm2");
    ASSERT_NE(site.await_leader(), nullptr);
    for (int number = 0; number < 5; ++number) {
        const auto name = fmt::format("replaced{}", number);
        site.start(name);
        site.time.run_for(seconds{5});
        site.stop(name);
    }

    site.time.run_for(forgotten_by_all);

    EXPECT_EQ(site.at(follower()).node->known_vms(), 1U);
}

TEST_F(known_vms, AFollowerThatHearsNoLeaderForgetsNobody)
{
    site.start("vm1");
    site.start("vm2");
    site.start("vm3");
    ASSERT_NE(site.await_leader(), nullptr);
    const auto name = follower();
    for (const auto* const other : {"vm1", "vm2", "vm3"}) {
        site.cut(name, other);
    }

    site.time.run_for(forgotten_by_all);

    EXPECT_EQ(site.at(name).node->known_vms(), 2U);
}

TEST_F(known_vms, AVmIsKnownAfterMoreReplacementsThanCanBeRemembered)
{
    site.start("vm1");
    site.start("vm2");
    ASSERT_NE(site.await_leader(), nullptr);
    auto& node = *site.at(follower()).node;
    for (std::uint64_t number = 1; number <= 300; ++number) {
        const auto name = fmt::format("replaced{}", number);
        const cluster::vm_entry from{name, number, site_fixture::address_of(name), "domain", 250};
        node.receive(cluster::hello{from}, [](const auto& /*answer*/) {});
    }
    site.time.run_for(forgotten_by_all);

    site.start("new");
    site.time.run_for(seconds{5});

    const auto known = node.relay_addresses();
    EXPECT_NE(std::ranges::find(known, site_fixture::address_of("new")), known.end());
}

} // namespace
} // namespace poplarstile::tests
