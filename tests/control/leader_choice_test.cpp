#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// Which VM leads when VMs differ in size. A leader's work grows with the number of workers, and a
/// VM with an eighth of a core falls behind with several hundred of them.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t small_vm = 120;
constexpr std::uint32_t large_vm = 500;
constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};

class leader_choice : public testing::Test
{
protected:
    leader_choice()
    {
        site.workers.add("w1", "r1-1", worker_capacity);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
    }

    std::string leader_after(milliseconds span)
    {
        site.time.run_for(span);
        const auto* const leading = site.leading_vm();
        return leading == nullptr ? std::string{"nobody"} : leading->name;
    }

    site_fixture site;
};

TEST_F(leader_choice, ASmallVmThatLeadsYieldsToALargeOne)
{
    site.start("small", small_vm);
    ASSERT_EQ(leader_after(seconds{3}), "small");

    site.start("large", large_vm);

    EXPECT_EQ(leader_after(seconds{5}), "large");
}

TEST_F(leader_choice, WorkGoesOnWhileTheLeaseChangesHands)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{4}; };
    site.start("small", small_vm);
    ASSERT_EQ(leader_after(seconds{3}), "small");
    site.submit(make_job("0000000000000001", 4, small_task));
    site.time.run_for(milliseconds{500});
    ASSERT_EQ(site.workers.starts().size(), 4U);

    site.start("large", large_vm);

    EXPECT_EQ(site.await_end("0000000000000001"), batch::job_status::completed);
    EXPECT_EQ(site.leading_vm()->name, "large");
    EXPECT_EQ(site.workers.starts().size(), 4U)
        << "the new leader must adopt what already runs, not start it again";
}

TEST_F(leader_choice, AnEqualVmDoesNotReplaceTheLeader)
{
    site.start("one", large_vm);
    ASSERT_EQ(leader_after(seconds{3}), "one");

    site.start("two", large_vm);

    EXPECT_EQ(leader_after(seconds{10}), "one");
}

TEST_F(leader_choice, TheLargestRemainingVmReplacesADeadLeader)
{
    site.start("a-small", small_vm);
    site.start("b-large", large_vm);
    site.start("c-large", large_vm);
    const auto first = leader_after(seconds{6});
    ASSERT_NE(first, "a-small");

    site.stop(first);

    EXPECT_EQ(leader_after(seconds{5}), first == "b-large" ? "c-large" : "b-large");
}

TEST_F(leader_choice, AVmThatLeavesNamesTheYoungestOfTheLargest)
{
    // A rolling restart has already passed the newest incarnation, so the lease moves less often.
    site.start("a-large", large_vm);
    site.start("b-large", large_vm);
    site.start("c-large", large_vm);
    site.start("d-small", small_vm);
    ASSERT_EQ(leader_after(seconds{5}), "a-large");
    site.stop("b-large");
    site.start("b-large", large_vm);
    site.time.run_for(seconds{3});

    site.at("a-large").node->leave([] {});

    site.time.run_for(seconds{1});
    EXPECT_NE(site.at("b-large").node->local_leader(), nullptr);
    EXPECT_EQ(site.at("c-large").node->local_leader(), nullptr);
}

TEST_F(leader_choice, AVmWithAThinLinkYieldsToOneWithLessCpuThatCanSend)
{
    constexpr std::uint32_t thin_link_kbit = 2'000;
    constexpr std::uint32_t wide_link_kbit = 100'000;
    site.start("thin", large_vm, thin_link_kbit);
    ASSERT_EQ(leader_after(seconds{3}), "thin");

    site.start("wide", small_vm, wide_link_kbit);

    EXPECT_EQ(leader_after(seconds{5}), "wide");
}

} // namespace
} // namespace poplarstile::tests
