#include "scheduling/fake_cluster.hpp"

#include "rules/rules_text.hpp"

#include <gtest/gtest.h>

namespace poplarstile::scheduling
{
namespace
{

using testing::fake_cluster;

std::vector<worker_description> two_workers()
{
    return {{"w0", "w0:1", "r1", 0, 8}, {"w1", "w1:1", "r1", 1, 8}};
}

job_spec job_of(std::string id, std::string workspace, rules::shape shape)
{
    job_spec spec;
    spec.id = std::move(id);
    spec.workspace = std::move(workspace);
    spec.shape = shape;
    spec.checkpointable = true;
    spec.payload = base::json_text{nlohmann::json{{"run_ms", 20'000}}};
    return spec;
}

/// Two workers guaranteed to `owner`, full of work of `guest`.
class scheduler_reclaim : public ::testing::Test
{
protected:
    scheduler_reclaim()
    {
        // Both ways together take at most `reclaim_round_trip`.
        cluster.faults.usual_delay = reclaim_round_trip / 2;
        cluster.rules = std::make_shared<rules::ruleset>(
            rules::parse_rules("workspace owner guarantee 1 of 2x8 in centro  # asked by: owner\n"
                               "workspace guest share 1                       # asked by: guest\n")
                .value());
        cluster.start_scheduler();
        run(base::milliseconds{300});
        cluster.submit(job_of("guest1", "guest", {1, 8}));
        cluster.submit(job_of("guest2", "guest", {1, 8}));
        run(base::milliseconds{3'000});
    }

    void run(base::milliseconds duration)
    {
        cluster.run_for(duration, [] {});
    }

    [[nodiscard]] job_state state_of(const std::string& id)
    {
        return cluster.current().find_job(id).value_or(job_view{.state = job_state::unknown}).state;
    }

    fake_cluster cluster{two_workers(), 1};
};

TEST_F(scheduler_reclaim, starts_guaranteed_work_within_its_bound)
{
    ASSERT_EQ(state_of("guest1"), job_state::running);
    ASSERT_EQ(state_of("guest2"), job_state::running);

    cluster.submit(job_of("urgent", "owner", {2, 8}));
    run(reclaim_bound);

    EXPECT_EQ(state_of("urgent"), job_state::running);
    EXPECT_EQ(state_of("guest1"), job_state::queued);
    EXPECT_EQ(cluster.orders["checkpoint"], 2U);
}

TEST_F(scheduler_reclaim, keeps_its_bound_when_no_checkpoint_answers_and_a_stop_is_lost)
{
    cluster.lost_orders = {{"checkpoint", 2}, {"stop", 1}};

    cluster.submit(job_of("urgent", "owner", {2, 8}));
    run(reclaim_bound);

    EXPECT_EQ(state_of("urgent"), job_state::running);
}

TEST_F(scheduler_reclaim, resumes_work_that_gave_way_from_its_checkpoint)
{
    auto urgent = job_of("urgent", "owner", {2, 8});
    urgent.payload = base::json_text{nlohmann::json{{"run_ms", 500}}};
    cluster.submit(urgent);
    run(base::milliseconds{3'000});

    ASSERT_EQ(cluster.state_of("urgent"), job_state::completed);
    ASSERT_EQ(state_of("guest1"), job_state::running);
    bool resumed = false;
    for (const auto& [address, worker] : cluster.workers) {
        for (const auto& [id, task] : worker.tasks) {
            resumed = resumed || task.call.payload.value().value("resume_ms", 0) > 1'000;
        }
    }
    EXPECT_TRUE(resumed) << "nearly three seconds of run time were checkpointed";
    EXPECT_EQ(cluster.current().counters().reclaimed, 2U);
}

TEST_F(scheduler_reclaim, gives_the_cells_back_when_the_claimant_is_cancelled)
{
    cluster.lost_orders = {{"checkpoint", 2}};
    cluster.submit(job_of("urgent", "owner", {2, 8}));
    run(base::milliseconds{100});
    cluster.cancel("urgent", true);
    run(base::milliseconds{3'000});

    EXPECT_EQ(cluster.state_of("urgent"), job_state::cancelled);
    EXPECT_EQ(state_of("guest1"), job_state::running) << "the guests run again";
}

TEST_F(scheduler_reclaim, never_places_work_that_does_not_give_way_on_the_guarantee)
{
    auto pinned = job_of("pinned", "guest", {1, 1});
    pinned.idempotent = false;
    cluster.submit(pinned);
    run(base::milliseconds{40'000});

    EXPECT_EQ(state_of("pinned"), job_state::queued);
    const auto reason = cluster.current().find_job("pinned")->reason;
    EXPECT_EQ(reason.rule, "workspace owner guarantee 1 of 2x8 in centro");
    EXPECT_NE(reason.would_change.find("checkpointable"), std::string::npos);
}

TEST_F(scheduler_reclaim, names_the_jobs_that_a_waiting_job_waits_for)
{
    cluster.submit(job_of("third", "guest", {1, 8}));
    run(base::milliseconds{200});

    const auto reason = cluster.current().find_job("third")->reason;

    EXPECT_EQ(reason.waits_for, "1x8 adjacent and free");
    ASSERT_EQ(reason.blocked_by.size(), 1U);
    EXPECT_TRUE(reason.blocked_by[0] == "guest1" || reason.blocked_by[0] == "guest2");
}

} // namespace
} // namespace poplarstile::scheduling
