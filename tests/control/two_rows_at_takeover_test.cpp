#include "support/row_retention_test.hpp"

/// A job whose submission was stored in two parts, because a reply was lost, goes on under the next
/// leader from the row that has the record of its runs.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class two_rows_at_takeover : public row_retention_test
{
protected:
    two_rows_at_takeover() : row_retention_test{milliseconds{2'000}}
    {
        for (const auto* const name : {"vm1", "vm2"}) {
            site.start(name);
        }
    }
};

TEST_F(two_rows_at_takeover, ARunningJobWhoseOtherRowIsReadFirstIsNotStartedAgain)
{
    ASSERT_NE(site.await_leader(), nullptr);
    for (std::size_t other = 0; other < site.parts.size(); ++other) {
        const auto id = fmt::format("{:016x}", other + 1);
        if (site.parts.home_of(id) == other) {
            continue;
        }
        const auto starts = site.workers.starts().size();
        site.submit(make_job(id, 1, small_task));
        ASSERT_TRUE(
            site.time.run_until([&] { return site.workers.starts().size() > starts; }, seconds{2}));
        site.time.run_for(milliseconds{300});

        // The second row is stored while nobody leads.
        const auto leader = site.leading_vm()->name;
        site.stop(leader);
        site.store.put({"jobs", site.parts.name(other), id},
                       batch::encode(make_job(id, 1, small_task)));
        ASSERT_NE(site.await_leader(), nullptr);
        site.start(leader);
        site.time.run_for(seconds{10});

        EXPECT_EQ(site.workers.starts().size(), starts + 1) << "the other row in part " << other;
        EXPECT_TRUE(site.workers.doubled().empty());
    }
}

} // namespace
} // namespace poplarstile::tests
