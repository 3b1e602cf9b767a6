#include "support/row_retention_test.hpp"

/// An accepted job runs once and its rows go in the end, also when a leader learns late of some of
/// its rows.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class removed_job : public row_retention_test
{
protected:
    removed_job() : row_retention_test{milliseconds{500}}
    {
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            site.start(name);
        }
    }

    /// The leader's reads and feeds are refused; its writes are served.
    void refuse_reads_of(const std::string& leader)
    {
        site.store.decide = [leader](const std::string& vm, bool write) {
            return vm == leader && !write ? fake_store::fate::refuse : fake_store::fate::serve;
        };
    }
    void serve_all()
    {
        site.store.decide = [](const std::string& /*vm*/, bool /*write*/) {
            return fake_store::fate::serve;
        };
    }
    const std::string id{"0000000000000001"};
};

TEST_F(removed_job, ADuplicateThatIsReadBeforeTheEndDoesNotRun)
{
    // A submission was stored in two parts because a reply was lost. While one of them was away,
    // the job ran from the other and ended there. The next leader reads the parts in any order.
    ASSERT_NE(site.await_leader(), nullptr);
    for (std::size_t ended = 0; ended < site.parts.size(); ++ended) {
        for (std::size_t away = 0; away < site.parts.size(); ++away) {
            if (ended == away) {
                continue;
            }
            const auto job = fmt::format("{:015x}{:x}", ended + 1, away + 1);
            const auto starts = site.workers.starts().size();
            site.store.away_parts = {site.parts.name(away)};
            const auto row = batch::encode(make_job(job, 1, small_task));
            site.store.put({"jobs", site.parts.name(ended), job}, row);
            site.store.put({"jobs", site.parts.name(away), job}, row);
            // A leader that had read all parts has taken the job on.
            site.store.put({"runs", site.parts.name(ended), job},
                           batch::encode_runs(batch::job{make_job(job, 1, small_task)}));
            replace_leader();
            site.time.run_for(seconds{5});
            ASSERT_EQ(site.workers.starts().size(), starts + 1);

            site.store.away_parts.clear();
            // The leader that ran it goes before it has read the other part.
            replace_leader();
            site.time.run_for(seconds{10});

            EXPECT_EQ(site.workers.starts().size(), starts + 1)
                << "ended in part " << ended << ", the other row in part " << away;
        }
    }
}

TEST_F(removed_job, ADuplicateToldByALateFeedDoesNotRun)
{
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    const auto other = site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    site.submit(make_job(id, 1, small_task));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);

    refuse_reads_of(leader->name);
    site.time.run_for(seconds{3});
    site.store.put({"jobs", other, id}, batch::encode(make_job(id, 1, small_task)));
    wait_for_removal();
    serve_all();
    site.time.run_for(seconds{10});

    EXPECT_EQ(site.leading_vm(), leader);
    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(removed_job, AJobToldByALateFeedDoesNotRunAgain)
{
    // The API frontend tells the leader of the row itself while the feed is refused.
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    refuse_reads_of(leader->name);
    site.time.run_for(seconds{3});
    site.submit(make_job(id, 1, small_task));
    const store::row_id row{"jobs", site.part_of(id), id};
    leader->node->report_stored_row(*site.store.find(row));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();
    serve_all();
    site.time.run_for(seconds{10});

    EXPECT_EQ(site.leading_vm(), leader);
    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(removed_job, BothRowsOfAJobThatEndedInTwoPartsGo)
{
    const auto other = site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    const auto row = batch::encode(
        batch::finished_job{batch::job_status::completed, "queue", "workspace", std::nullopt});
    site.store.put({"jobs", site.part_of(id), id}, row);
    site.store.put({"jobs", other, id}, row);
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);

    wait_for_removal();

    EXPECT_EQ(site.leading_vm(), leader);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(removed_job, ACancelRowThatIsStoredAfterTheRemovalGoes)
{
    ASSERT_NE(site.await_leader(), nullptr);
    site.cancel(id);

    wait_for_removal();

    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(removed_job, AJobStoredWhileThePagesAreReadAgainIsFound)
{
    // More ended jobs than a page holds, so that the rows of each part are read in two steps.
    constexpr int jobs_of_a_part = 600;
    const auto row = batch::encode(batch::finished_job{
        batch::job_status::completed, "queue", "workspace", base::store_time{seconds{100}}});
    ASSERT_NE(site.await_leader(), nullptr);
    for (const auto& part : site.parts.names()) {
        for (int number = 0; number < jobs_of_a_part; ++number) {
            site.store.put({"jobs", part, fmt::format("f{:015x}", number)}, row);
        }
    }
    site.time.run_for(seconds{3});

    site.store.put({"jobs", site.parts.name(0), "ffffffffffffffff"}, row);
    site.store.forget_history();
    // The first pages have been read, the second ones have not.
    site.time.run_for(milliseconds{11});
    site.submit(make_job(id, 1, small_task));
    site.time.run_for(seconds{20});

    EXPECT_EQ(site.workers.starts().size(), 1U);
}

} // namespace
} // namespace poplarstile::tests
