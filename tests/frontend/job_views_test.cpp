#include "frontend/job_views.hpp"

#include "support/virtual_time.hpp"

#include <gtest/gtest.h>

namespace poplarstile::frontend
{
namespace
{

using base::milliseconds;

class job_views_test : public testing::Test
{
protected:
    cluster::leader_heartbeat heartbeat(std::uint64_t sequence)
    {
        cluster::leader_heartbeat made;
        made.epoch = 1;
        made.sequence = sequence;
        made.snapshot = sequence == 1;
        return made;
    }

    tests::virtual_time time{};
    job_views views{time.timers(), milliseconds{1'000}, 10};
};

TEST_F(job_views_test, DoesNotReplaceAFinalStatus)
{
    views.note({"j", "q", "w", batch::job_status::completed});
    views.note({"j", "q", "w", batch::job_status::running});

    EXPECT_EQ(views.find("j")->status, batch::job_status::completed);
}

TEST_F(job_views_test, AMissedHeartbeatRequiresASnapshot)
{
    EXPECT_TRUE(views.apply_heartbeat(heartbeat(1)));
    EXPECT_TRUE(views.apply_heartbeat(heartbeat(2)));
    EXPECT_FALSE(views.apply_heartbeat(heartbeat(4)));
}

TEST_F(job_views_test, IsNotFreshWithoutRecentHeartbeats)
{
    (void)views.apply_heartbeat(heartbeat(1));
    EXPECT_TRUE(views.fresh());

    time.run_for(milliseconds{1'500});

    EXPECT_FALSE(views.fresh());
    EXPECT_FALSE(views.whole());
    EXPECT_FALSE(views.load_of("q"));
}

TEST_F(job_views_test, IsNotWholeUnderAPartialLeader)
{
    auto partial = heartbeat(1);
    partial.partial = true;

    (void)views.apply_heartbeat(partial);

    EXPECT_TRUE(views.fresh());
    EXPECT_FALSE(views.whole());
}

// Guards against reporting a stale status after a change of leader: a deposed leader reported a job
// as open, and the job ended under its successor before this VM received that report, so the
// successor's snapshot does not list the job.
TEST_F(job_views_test, AnEarlierLeadersOpenJobsAreUncertainUnderAPartialLeader)
{
    (void)views.apply_heartbeat(heartbeat(1));
    views.note({"ended", "q", "w", batch::job_status::pending});
    auto successor = heartbeat(1);
    successor.epoch = 2;
    successor.partial = true;
    successor.changes.push_back({"open", "q", "w", batch::job_status::running});

    (void)views.apply_heartbeat(successor);

    EXPECT_FALSE(views.find("ended"));
    EXPECT_TRUE(views.knows("ended")) << "the job was accepted, whatever its status is now";
    EXPECT_EQ(views.find("open")->status, batch::job_status::running);
}

TEST_F(job_views_test, TheLeadersOwnVmDropsOpenJobsOfItsPredecessor)
{
    (void)views.apply_heartbeat(heartbeat(1));
    views.note({"ended", "q", "w", batch::job_status::pending});

    views.replace_open_jobs({{"open", "q", "w", batch::job_status::running}}, true);
    views.set_loads({}, true);

    EXPECT_FALSE(views.find("ended"));
    EXPECT_EQ(views.find("open")->status, batch::job_status::running);
}

TEST_F(job_views_test, AnUncertainJobIsFoundAgainOnceTheLeaderReportsIt)
{
    (void)views.apply_heartbeat(heartbeat(1));
    views.note({"job", "q", "w", batch::job_status::pending});
    views.replace_open_jobs({}, false);
    views.set_loads({}, false);
    ASSERT_FALSE(views.find("job"));

    views.note({"job", "q", "w", batch::job_status::running});

    EXPECT_EQ(views.find("job")->status, batch::job_status::running);
}

} // namespace
} // namespace poplarstile::frontend
