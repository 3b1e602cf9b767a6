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
    cluster::leader_heartbeat beat(std::uint64_t sequence)
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

TEST_F(job_views_test, AFinalStatusIsNeverReplaced)
{
    views.note({"j", "q", "w", batch::job_status::completed});
    views.note({"j", "q", "w", batch::job_status::running});

    EXPECT_EQ(views.find("j")->status, batch::job_status::completed);
}

TEST_F(job_views_test, AGapInTheBeatsAsksForASnapshot)
{
    EXPECT_TRUE(views.apply_heartbeat(beat(1)));
    EXPECT_TRUE(views.apply_heartbeat(beat(2)));
    EXPECT_FALSE(views.apply_heartbeat(beat(4)));
}

TEST_F(job_views_test, WhatIsKnownGrowsOldWithoutBeats)
{
    (void)views.apply_heartbeat(beat(1));
    EXPECT_TRUE(views.fresh());

    time.run_for(milliseconds{1'500});

    EXPECT_FALSE(views.fresh());
    EXPECT_FALSE(views.whole());
    EXPECT_FALSE(views.load_of("q"));
}

TEST_F(job_views_test, APartialLeaderDoesNotProveThatAJobIsNew)
{
    auto partial = beat(1);
    partial.partial = true;

    (void)views.apply_heartbeat(partial);

    EXPECT_TRUE(views.fresh());
    EXPECT_FALSE(views.whole());
}

// A leader that was deposed told of a job that its successor saw end before this VM heard of it.
TEST_F(job_views_test, WhatAnEarlierLeaderToldIsDoubtfulUnderAPartialOne)
{
    (void)views.apply_heartbeat(beat(1));
    views.note({"ended", "q", "w", batch::job_status::pending});
    auto successor = beat(1);
    successor.epoch = 2;
    successor.partial = true;
    successor.changes.push_back({"open", "q", "w", batch::job_status::running});

    (void)views.apply_heartbeat(successor);

    EXPECT_FALSE(views.find("ended"));
    EXPECT_TRUE(views.knows("ended")) << "it was accepted, whatever became of it";
    EXPECT_EQ(views.find("open")->status, batch::job_status::running);
}

TEST_F(job_views_test, TheVmThatLeadsForgetsWhatItsPredecessorTold)
{
    (void)views.apply_heartbeat(beat(1));
    views.note({"ended", "q", "w", batch::job_status::pending});

    views.replace_open_jobs({{"open", "q", "w", batch::job_status::running}}, true);
    views.set_loads({}, true);

    EXPECT_FALSE(views.find("ended"));
    EXPECT_EQ(views.find("open")->status, batch::job_status::running);
}

TEST_F(job_views_test, ADoubtfulJobIsKnownAgainOnceTheLeaderTellsOfIt)
{
    (void)views.apply_heartbeat(beat(1));
    views.note({"job", "q", "w", batch::job_status::pending});
    views.replace_open_jobs({}, false);
    views.set_loads({}, false);
    ASSERT_FALSE(views.find("job"));

    views.note({"job", "q", "w", batch::job_status::running});

    EXPECT_EQ(views.find("job")->status, batch::job_status::running);
}

} // namespace
} // namespace poplarstile::frontend
