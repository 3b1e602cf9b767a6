#include "door/job_shape.hpp"
#include "door/job_views.hpp"
#include "support/virtual_time.hpp"

#include <gtest/gtest.h>

namespace poplarstile::door
{
namespace
{

using base::milliseconds;

batch::job_spec spec_of(std::vector<batch::step_spec> steps)
{
    batch::job_spec spec;
    spec.steps = std::move(steps);
    return spec;
}

batch::step_spec step(std::uint32_t tasks, std::vector<std::uint32_t> after = {})
{
    batch::step_spec made;
    made.task_count = tasks;
    made.after = std::move(after);
    return made;
}

TEST(job_shape, ASoundJobHasNoFault)
{
    EXPECT_FALSE(fault_of(spec_of({step(1), step(2, {0})})));
}

TEST(job_shape, WhatCanNeverRunIsTold)
{
    EXPECT_TRUE(fault_of(spec_of({})));
    EXPECT_TRUE(fault_of(spec_of({step(0)})));
    EXPECT_TRUE(fault_of(spec_of({step(1, {0})}))) << "after itself";
    EXPECT_TRUE(fault_of(spec_of({step(1, {1}), step(1)}))) << "after a later step";
    EXPECT_TRUE(fault_of(spec_of(std::vector(max_steps + 1, step(1)))));
}

TEST(job_shape, AbsurdCountsAreRefusedBeforeAnythingIsAllocated)
{
    EXPECT_TRUE(fault_of(spec_of({step(4'294'967'295U)})));
    EXPECT_TRUE(fault_of(spec_of({step(4'294'967'295U), step(4'294'967'295U)})));
    auto repeated = spec_of({step(100)});
    repeated.repeat = batch::recurrence{4'000'000'000U, 0, 1};
    EXPECT_TRUE(fault_of(repeated));
}

TEST(job_shape, NegativeNeedsAreRefused)
{
    auto negative = step(1);
    negative.need.accelerators = -1;

    EXPECT_TRUE(fault_of(spec_of({negative})));
}

class job_views_test : public testing::Test
{
protected:
    cluster::leader_beat beat(std::uint64_t sequence)
    {
        cluster::leader_beat made;
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
    EXPECT_TRUE(views.hear(beat(1)));
    EXPECT_TRUE(views.hear(beat(2)));
    EXPECT_FALSE(views.hear(beat(4)));
}

TEST_F(job_views_test, WhatIsKnownGrowsOldWithoutBeats)
{
    (void)views.hear(beat(1));
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

    (void)views.hear(partial);

    EXPECT_TRUE(views.fresh());
    EXPECT_FALSE(views.whole());
}

} // namespace
} // namespace poplarstile::door
