#include "support/row_retention_test.hpp"

/// A cancel that is read before its job is kept for as long as the job may be stored.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class early_cancel : public row_retention_test
{
protected:
    early_cancel() : row_retention_test{milliseconds{500}}
    {
        for (const auto* const name : {"vm1", "vm2"}) {
            site.start(name);
        }
    }

    [[nodiscard]] std::string other_part() const
    {
        return site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    }
    [[nodiscard]] store::row_id cancel_row() const
    {
        return {"jobs", other_part(), id + ".cancel"};
    }
    void store_cancel_in_other_part()
    {
        site.store.put(cancel_row(), "{}");
    }

    const std::string id{"0000000000000001"};
};

TEST_F(early_cancel, CountsForAJobInAPartThatIsAwayForLong)
{
    ASSERT_NE(site.await_leader(), nullptr);
    site.store.away_parts = {site.part_of(id)};
    replace_leader();
    site.submit(make_job(id, 1, small_task));
    store_cancel_in_other_part();
    wait_for_removal();
    wait_for_removal();

    site.store.away_parts.clear();

    EXPECT_EQ(site.await_end(id), batch::job_status::cancelled);
    EXPECT_TRUE(site.workers.starts().empty());
}

TEST_F(early_cancel, CountsForAJobThatTheFeedDeliversLate)
{
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    store_cancel_in_other_part();
    site.time.run_for(seconds{3});
    site.store.decide = [name = leader->name](const std::string& vm, bool write) {
        return vm == name && !write ? fake_store::fate::refuse : fake_store::fate::serve;
    };
    // The feed that is under way ends.
    site.time.run_for(seconds{3});
    site.submit(make_job(id, 1, small_task));
    wait_for_removal();

    site.store.decide = [](const std::string& /*vm*/, bool /*write*/) {
        return fake_store::fate::serve;
    };

    EXPECT_EQ(site.await_end(id), batch::job_status::cancelled);
    EXPECT_EQ(site.leading_vm(), leader);
    EXPECT_TRUE(site.workers.starts().empty());
}

TEST_F(early_cancel, CountsForAJobThatIsStoredSomewhatLater)
{
    ASSERT_NE(site.await_leader(), nullptr);
    store_cancel_in_other_part();
    site.time.run_for(seconds{100});

    site.submit(make_job(id, 1, small_task));

    EXPECT_EQ(site.await_end(id), batch::job_status::cancelled);
    EXPECT_TRUE(site.workers.starts().empty());
}

TEST_F(early_cancel, OfAJobThatCannotBeReadStays)
{
    site.store.put({"jobs", site.part_of(id), id}, "a row of a later build");
    store_cancel_in_other_part();
    ASSERT_NE(site.await_leader(), nullptr);

    wait_for_removal();

    EXPECT_TRUE(site.store.find(cancel_row()));
}

TEST_F(early_cancel, OfAJobThatIsGoneGoesOnceItsPartAnswers)
{
    store_cancel_in_other_part();
    ASSERT_NE(site.await_leader(), nullptr);
    site.store.away_parts = {other_part()};
    wait_for_removal();
    EXPECT_TRUE(site.store.find(cancel_row()));

    site.store.away_parts.clear();
    site.time.run_for(seconds{5});

    EXPECT_FALSE(site.store.find(cancel_row()));
}

TEST_F(early_cancel, OfAnOpenRowThatIsDroppedBecauseItsJobHasEndedGoes)
{
    // Of the two rows of a job one has ended. The parts are read in any order.
    for (std::size_t ended = 0; ended < site.parts.size(); ++ended) {
        for (std::size_t open = 0; open < site.parts.size(); ++open) {
            if (ended == open) {
                continue;
            }
            const auto job = fmt::format("{:015x}{:x}", ended + 1, open + 1);
            site.store.put({"jobs", site.parts.name(open), job},
                           batch::encode(make_job(job, 1, small_task)));
            site.store.put({"jobs", site.parts.name(open), job + ".cancel"}, "{}");
            site.store.put(
                {"jobs", site.parts.name(ended), job},
                batch::encode(batch::finished_job{batch::job_status::cancelled, "queue",
                                                  "workspace", base::store_time{seconds{100}}}));
        }
    }
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);

    wait_for_removal();

    EXPECT_EQ(site.leading_vm(), leader);
    EXPECT_TRUE(site.store.all("jobs").empty());
    EXPECT_TRUE(site.workers.starts().empty());
}

TEST_F(early_cancel, CountsForASecondRowThatIsReadWithoutTheEndedOne)
{
    // The job ended as cancelled while the part of its second row was away; the next leader reads
    // that part, and the part of the ended row is away.
    const auto third = site.parts.name((site.parts.home_of(id) + 2) % site.parts.size());
    ASSERT_NE(site.await_leader(), nullptr);
    site.store.away_parts = {other_part()};
    replace_leader();
    const auto job = make_job(id, 1, worker_capacity);
    site.store.put({"jobs", third, id + ".cancel"}, "{}");
    site.submit(job);
    site.store.put({"jobs", other_part(), id}, batch::encode(job));
    ASSERT_EQ(site.await_end(id), batch::job_status::cancelled);
    site.time.run_for(seconds{3});

    site.store.away_parts = {site.part_of(id)};
    replace_leader();
    site.time.run_for(seconds{10});

    EXPECT_TRUE(site.workers.starts().empty());
}

} // namespace
} // namespace poplarstile::tests
