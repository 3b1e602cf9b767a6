#include "soak/soak_waiting.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace
{

using namespace poplarstile;
using namespace std::chrono_literals;
using soak::waiting_judge;

constexpr const char* job = "job";

/// A gang of two that each need a whole worker, on two racks with one free worker each and two busy
/// ones; the judge does not know the racks.
class waiting_work : public testing::Test
{
protected:
    waiting_work()
    {
        standins::site_standin::step_script step;
        step.tasks = 2;
        step.gang = true;
        step.need = {0, 0, 8};
        owed_[job] = {job, {step}};
        const batch::resources whole{0, 0, 8};
        seen_.workers.assign(4, {whole, {}});
        seen_.workers.insert(seen_.workers.end(), 3, {whole, whole});
    }

    void watch_for(base::milliseconds span)
    {
        for (const auto until = now_ + span; now_ < until; now_ += 100ms) {
            judge_.observe(now_, seen_, owed_);
        }
    }

    waiting_judge judge_;
    soak::site_sight seen_;
    std::map<std::string, soak::job_script> owed_;
    waiting_judge::clock::time_point now_{};
};

TEST_F(waiting_work, BesideRoomForTwiceTheGangIsFound)
{
    watch_for(waiting_judge::longest_wait + 300ms);

    EXPECT_THAT(judge_.violations(owed_),
                testing::ElementsAre(testing::HasSubstr("job: waits beside free room")));
}

TEST_F(waiting_work, ForLessThanTheSpanIsAllowed)
{
    watch_for(waiting_judge::longest_wait - 300ms);

    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());
}

TEST_F(waiting_work, BesideRoomForTheGangOnlyOnceIsAllowed)
{
    seen_.workers.resize(3);
    watch_for(2 * waiting_judge::longest_wait);

    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());
}

TEST_F(waiting_work, WhileHalfOfTheCapacityIsInUseIsAllowed)
{
    seen_.workers.insert(seen_.workers.end(), 2, seen_.workers.back());
    watch_for(2 * waiting_judge::longest_wait);

    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());
}

TEST_F(waiting_work, CountsAnewOnceATaskOfTheJobRan)
{
    watch_for(waiting_judge::longest_wait - 300ms);
    seen_.running = {"job.0.0.1"};
    watch_for(300ms);
    seen_.running.clear();
    watch_for(waiting_judge::longest_wait - 300ms);

    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());
}

TEST_F(waiting_work, OfAStepWhoseTurnHasNotComeIsAllowed)
{
    auto later = owed_.at(job).steps.front();
    later.after = {0};
    owed_.at(job).steps.front().need = {0, 0, 9};
    owed_.at(job).steps.push_back(later);
    watch_for(2 * waiting_judge::longest_wait);
    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());

    seen_.done = {"job.0.0.0", "job.0.0.1"};
    watch_for(2 * waiting_judge::longest_wait);
    EXPECT_THAT(judge_.violations(owed_), testing::ElementsAre(testing::HasSubstr("step 1")));
}

TEST_F(waiting_work, ThatIsDoneIsNotWaiting)
{
    seen_.done = {"job.0.0.0", "job.0.0.1"};
    watch_for(2 * waiting_judge::longest_wait);

    EXPECT_THAT(judge_.violations(owed_), testing::IsEmpty());
}

} // namespace
