#include "support/row_retention_test.hpp"

/// A job that is stored in two parts, because a reply was lost, runs once: the row of its end stays
/// until the other row is gone.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class duplicate_rows : public row_retention_test
{
protected:
    duplicate_rows() : row_retention_test{milliseconds{500}}
    {
        site.leading.status_retention = seconds{5};
    }

    /// Starts a VM whose feeds are refused while `feed_away` is set.
    void start_vm(const std::string& name)
    {
        auto& made = site.start(name);
        made.rows.follow = [this, direct = made.rows.follow](
                               store::feed_request asked,
                               const std::function<void(store::feed_reply)>& handler) {
            const auto answered = [this, handler](store::feed_reply reply) {
                if (feed_away) {
                    reply = {};
                    reply.outcome = store::call_outcome::refused;
                }
                handler(reply);
            };
            direct(std::move(asked), answered);
        };
    }

    [[nodiscard]] std::string other_part() const
    {
        return site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    }
    void store_duplicate()
    {
        site.store.put({"jobs", other_part(), id}, batch::encode(make_job(id, 1, small_task)));
    }

    std::string id{"0000000000000001"};
    bool feed_away = false;
};

TEST_F(duplicate_rows, ARowThatCannotBeDroppedYetDoesNotRunUnderTheNextLeader)
{
    start_vm("vm1");
    start_vm("vm2");
    ASSERT_NE(site.await_leader(), nullptr);
    site.submit(make_job(id, 1, small_task));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    // The worker has forgotten the end of the task.
    site.time.run_for(seconds{1});
    site.store.away_parts = {other_part()};
    store_duplicate();
    wait_for_removal();

    site.stop(site.leading_vm()->name);
    ASSERT_NE(site.await_leader(), nullptr);
    site.store.away_parts.clear();
    wait_for_removal();

    EXPECT_EQ(site.workers.starts().size(), 1U);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(duplicate_rows, ARowThatTheFeedDeliversLateDoesNotRun)
{
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return !site.workers.starts().empty(); }, seconds{2}));
    feed_away = true;
    store_duplicate();
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();

    feed_away = false;
    wait_for_removal();

    EXPECT_EQ(site.workers.starts().size(), 1U);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(duplicate_rows, ARowOfAPartThatIsReadAgainLateDoesNotRun)
{
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return !site.workers.starts().empty(); }, seconds{2}));
    feed_away = true;
    store_duplicate();
    site.time.run_for(seconds{3});
    site.store.forget_history();
    site.store.away_parts = {other_part()};
    feed_away = false;
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();

    site.store.away_parts.clear();
    wait_for_removal();

    EXPECT_EQ(site.workers.starts().size(), 1U);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(duplicate_rows, TheRecordOfRunsBesideADroppedRowGoesWithIt)
{
    // An earlier leader that read only this part has placed tasks.
    const store::row_id runs{"runs", other_part(), id};
    auto job = make_job(id, 1, small_task);
    site.store.put(runs, batch::encode_runs(batch::job{job}));
    site.store.away_parts = {other_part()};
    store_duplicate();
    site.submit(job);
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);

    site.store.away_parts.clear();
    site.time.run_for(seconds{5});

    EXPECT_FALSE(site.store.find({"jobs", other_part(), id}));
    EXPECT_FALSE(site.store.find(runs));
}

TEST_F(duplicate_rows, ACancelThatIsReadBeforeTheEndOfItsJobIsRemoved)
{
    const store::row_id cancel{"jobs", other_part(), id + ".cancel"};
    site.store.put({"jobs", site.part_of(id), id},
                   batch::encode(batch::finished_job{batch::job_status::cancelled, "queue",
                                                     "workspace", base::store_time{seconds{100}}}));
    site.store.put(cancel, "{}");
    site.store.away_parts = {site.part_of(id)};
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);

    site.store.away_parts.clear();
    site.time.run_for(seconds{5});

    EXPECT_FALSE(site.store.find(cancel));
}

} // namespace
} // namespace poplarstile::tests
