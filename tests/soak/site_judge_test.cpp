#include "standins/site_standin/site_judge.hpp"

#include "standins/site_standin/site_host.hpp"
#include "support/fake_workers.hpp"
#include "support/virtual_time.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace
{

using namespace poplarstile;
using namespace std::chrono_literals;
namespace site = standins::site_standin;

constexpr const char* deadly_task = "job.0.0.0";

fleet::start_order make_start(std::uint32_t run)
{
    site::step_script step;
    step.crashes_after = 5ms;
    fleet::start_order order;
    order.task = batch::parse_task_id(deadly_task).value();
    order.run = run;
    order.payload = site::to_payload({"job", {step}});
    return order;
}

/// Starts the task so many times; each start crashes a worker.
site::site_judge judge_after(std::uint32_t starts)
{
    site::site_judge judge{site::max_attempts};
    for (std::uint32_t run = 1; run <= starts; ++run) {
        judge.started(make_start(run));
        judge.crashed_its_worker(deadly_task);
    }
    return judge;
}

TEST(site_judge, TwoStartsAfterThreeCrashesAreAllowed)
{
    EXPECT_THAT(judge_after(5).violations(), testing::IsEmpty());
}

TEST(site_judge, AThirdStartAfterThreeCrashesIsAViolation)
{
    EXPECT_THAT(judge_after(6).violations(),
                testing::ElementsAre(testing::HasSubstr("started after it crashed 5 workers")));
}

TEST(site_judge, StartsWithoutACrashAreNotBounded)
{
    site::site_judge judge{site::max_attempts};
    for (std::uint32_t run = 1; run <= 10; ++run) {
        judge.started(make_start(run));
    }

    EXPECT_THAT(judge.violations(), testing::IsEmpty());
}

TEST(job_script, TheTimeUntilACrashTravelsInThePayload)
{
    const auto script = site::parse_payload(make_start(1).payload);

    ASSERT_TRUE(script.has_value());
    EXPECT_EQ(script->steps.front().crashes_after, 5ms);
}

/// A worker that shrinks, and a task that needs all that it had.
class shrinking_worker : public testing::Test
{
protected:
    shrinking_worker()
    {
        workers_.need = [](const std::string& /*task*/) { return batch::resources{0, 0, 8}; };
        workers_.add("w1", "rack", {0, 0, 8});
        workers_.set_capacity("w1", {0, 0, 4});
    }

    void start_after(base::milliseconds delay)
    {
        time_.run_for(delay);
        auto order = make_start(1);
        order.to.life = workers_.at("w1").facts.life;
        order.lease_until = 60'000;
        workers_.orders().start(order, [](const fleet::order_reply& /*reply*/) {});
        time_.run_for(100ms);
    }

    tests::virtual_time time_{};
    tests::fake_workers workers_{time_};
};

TEST_F(shrinking_worker, MayBeFilledAsBeforeWhileItsNewCapacityMayNotBeKnown)
{
    start_after(4'000ms);

    EXPECT_THAT(workers_.overfull(), testing::IsEmpty());
}

TEST_F(shrinking_worker, IsOverfullByAStartAfterThat)
{
    start_after(4'600ms);

    EXPECT_THAT(workers_.overfull(), testing::ElementsAre("w1"));
}

TEST_F(shrinking_worker, TellsWhichStartMadeItOverfullAndWhatItHeldStillBeingStopped)
{
    start_after(100ms);
    fleet::stop_order stop;
    stop.to.life = workers_.at("w1").facts.life;
    stop.task = batch::parse_task_id(deadly_task).value();
    stop.run = 1;
    stop.token = 2;
    auto next = make_start(1);
    next.task.index = 1;
    next.to.life = stop.to.life;
    next.lease_until = 60'000;
    next.token = 2;
    workers_.stop_time = 50ms;

    workers_.orders().stop(stop, [](const fleet::order_reply& /*reply*/) {});
    time_.run_for(10ms);
    workers_.orders().start(next, [](const fleet::order_reply& /*reply*/) {});
    time_.run_for(10ms);

    ASSERT_EQ(workers_.overfull_starts().size(), 1U);
    const auto& found = workers_.overfull_starts().front();
    EXPECT_EQ(found.worker, "w1");
    EXPECT_EQ(found.started.task, "job.0.0.1");
    EXPECT_EQ(found.started.token, 2U);
    EXPECT_EQ(found.used, (batch::resources{0, 0, 16}));
    ASSERT_EQ(found.beside.size(), 1U);
    EXPECT_EQ(found.beside.front().task, deadly_task);
    EXPECT_EQ(found.beside.front().token, 0U);
    EXPECT_TRUE(found.beside.front().being_stopped);
}

} // namespace
