#include "support/row_retention_test.hpp"

/// What becomes of the rows of a job and of the requests to cancel it, at its end, when it is
/// stored in two parts, and when a leader reads more rows than a page holds.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

/// A leader has seen the rows of all parts again within this time: two waits of its feed, 2 s each.
constexpr seconds rows_seen_again{5};

/// The leader reads a part in pages of at most this many rows.
constexpr int page_rows = 500;
constexpr milliseconds task_duration{2'000};

class job_rows : public row_retention_test
{
protected:
    job_rows() : row_retention_test{task_duration}
    {
        for (const auto* const name : {"vm1", "vm2"}) {
            site.start(name);
        }
        site.workers.on_acknowledged = [this](const std::string& /*worker*/,
                                              const fleet::ended_task& ended) {
            acknowledged.push_back(ended.task.job);
        };
    }

    void start(const batch::submission& job)
    {
        ASSERT_NE(site.await_leader(), nullptr);
        const auto starts = site.workers.starts().size();
        site.submit(job);
        ASSERT_TRUE(
            site.time.run_until([&] { return site.workers.starts().size() > starts; }, seconds{3}));
    }
    void start_job()
    {
        start(make_job(id, 1, small_task));
    }

    [[nodiscard]] const std::string& home() const
    {
        return site.part_of(id);
    }
    [[nodiscard]] const std::string& other() const
    {
        return site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    }
    [[nodiscard]] std::string ended_row() const
    {
        return batch::encode(
            batch::finished_job{batch::job_status::completed, "queue", "workspace",
                                base::store_time{milliseconds{site.time.now_ms()}}});
    }
    [[nodiscard]] std::optional<batch::job_status> status_at_leader()
    {
        const auto view = site.leading_vm()->views->find(id);
        return view ? std::optional{view->status} : std::nullopt;
    }
    [[nodiscard]] control::leader_counters counters()
    {
        return site.leading_vm()->node->local_leader()->counters();
    }

    const std::string id{"0000000000000001"};
    std::vector<std::string> acknowledged{};
};

TEST_F(job_rows, TheRecordOfRunsGoesWithTheEndOfItsJob)
{
    start_job();
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);

    EXPECT_TRUE(site.store.all("runs").empty());
}

TEST_F(job_rows, TheLeaderShowsTheEndOfAJobThatItHasStored)
{
    start_job();
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.time.run_for(milliseconds{200});

    EXPECT_EQ(status_at_leader(), batch::job_status::completed);
}

TEST_F(job_rows, AnEndThatIsStoredInTimeIsStoredOnce)
{
    start_job();
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.time.run_for(seconds{1});

    EXPECT_EQ(counters().end_times_stored_anew, 0U);
}

TEST_F(job_rows, TheCancelsOfAJobGoWithItsEndWhereverTheyAreStored)
{
    start_job();
    site.cancel(id);
    site.store.put({"jobs", other(), id + ".cancel"}, "{}");
    ASSERT_EQ(site.await_end(id), batch::job_status::cancelled);
    site.time.run_for(rows_seen_again);

    EXPECT_EQ(site.store.all("jobs").size(), 1U) << "only the ended job's own row is left";
}

TEST_F(job_rows, ACancelOfAnEndedJobGoes)
{
    start_job();
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.time.run_for(seconds{1});
    site.cancel(id);
    site.time.run_for(rows_seen_again);

    EXPECT_EQ(site.store.all("jobs").size(), 1U) << "only the ended job's own row is left";
}

TEST_F(job_rows, ACancelThatIsStoredWhileNobodyLeadsStopsTheJob)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{60}; };
    start_job();
    site.stop(site.leading_vm()->name);
    site.cancel(id);
    ASSERT_NE(site.await_leader(), nullptr);

    EXPECT_EQ(site.await_end(id, seconds{5}), batch::job_status::cancelled);
}

TEST_F(job_rows, TheSecondRowOfARunningJobGoesAtOnce)
{
    start_job();
    site.store.put({"jobs", other(), id}, batch::encode(make_job(id, 1, small_task)));
    site.time.run_for(milliseconds{500});

    EXPECT_FALSE(site.store.find({"jobs", other(), id}));
    EXPECT_TRUE(site.store.find({"jobs", home(), id}));
}

TEST_F(job_rows, AnEndInAnotherPartDoesNotDropAJobThatRuns)
{
    start_job();
    site.store.put({"jobs", other(), id}, ended_row());
    site.time.run_for(milliseconds{500});

    EXPECT_TRUE(site.store.find({"runs", home(), id})) << "nobody knows of the running task";
}

TEST_F(job_rows, AJobThatHasEndedInAnotherPartIsShownAsEnded)
{
    ASSERT_NE(site.await_leader(), nullptr);
    constexpr batch::resources too_large{64'000, 4'000, 1};
    site.submit(make_job(id, 1, too_large));
    site.time.run_for(seconds{1});
    ASSERT_EQ(status_at_leader(), batch::job_status::pending);
    site.store.put({"jobs", other(), id}, ended_row());
    site.time.run_for(seconds{1});

    EXPECT_EQ(status_at_leader(), batch::job_status::completed);
}

TEST_F(job_rows, AnEndedJobThatALateFeedTellsOfKeepsItsRow)
{
    // The API frontend tells the leader of the row itself while the feed is refused.
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    site.store.decide = [name = leader->name](const std::string& vm, bool write) {
        return vm == name && !write ? fake_store::fate::refuse : fake_store::fate::serve;
    };
    site.time.run_for(seconds{3});
    site.submit(make_job(id, 1, small_task));
    leader->node->report_stored_row(*site.store.find({"jobs", home(), id}));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.store.decide = [](const std::string& /*vm*/, bool /*write*/) {
        return fake_store::fate::serve;
    };
    site.time.run_for(seconds{5});

    EXPECT_TRUE(site.store.find({"jobs", home(), id}));
}

TEST_F(job_rows, ManyEndedJobsOfOnePartGoSoonAfterTheirTime)
{
    ASSERT_NE(site.await_leader(), nullptr);
    for (int number = 0; number < 400; ++number) {
        site.store.put({"jobs", home(), fmt::format("{:016x}", number)}, ended_row());
    }
    wait_for_removal();

    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(job_rows, AnEndInTheFutureOfTheStoresClockIsNotKeptForLonger)
{
    ASSERT_NE(site.await_leader(), nullptr);
    site.store.put({"jobs", home(), id},
                   batch::encode(batch::finished_job{batch::job_status::completed, "queue",
                                                     "workspace", base::store_time{seconds{900}}}));
    wait_for_removal();

    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(job_rows, AnEndThatIsALittleAheadOfTheNewestReplyIsNotStoredAgain)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const base::store_time ahead{milliseconds{site.time.now_ms() + 2'000}};
    site.store.put({"jobs", home(), id},
                   batch::encode(batch::finished_job{batch::job_status::completed, "queue",
                                                     "workspace", ahead}));
    site.time.run_for(seconds{1});

    EXPECT_EQ(counters().end_times_stored_anew, 0U);
}

TEST_F(job_rows, RemovalsAreNotCollectedForAPartThatDoesNotAnswer)
{
    ASSERT_NE(site.await_leader(), nullptr);
    for (int number = 0; number < 200; ++number) {
        site.store.put({"jobs", home(), fmt::format("{:016x}", number)}, ended_row());
    }
    site.time.run_for(site.leading.status_retention);
    site.store.away_parts = {home()};
    site.time.run_for(seconds{30});

    ASSERT_NE(site.leading_vm(), nullptr);
    EXPECT_LE(counters().commit_backlog, 20U);
}

TEST_F(job_rows, AnEndIsNotAcknowledgedBeforeItIsStored)
{
    start_job();
    site.time.run_for(task_duration - seconds{1});
    site.store.away_parts = {home()};
    site.time.run_for(seconds{3});

    EXPECT_FALSE(site.workers.done().empty());
    EXPECT_TRUE(acknowledged.empty());
}

TEST_F(job_rows, AnEndIsNotAcknowledgedBecauseThatOfAnotherPartIsStored)
{
    start_job();
    const std::string second{"0000000000000002"};
    ASSERT_NE(site.part_of(second), home());
    start(make_job(second, 1, small_task));
    site.time.run_for(task_duration - seconds{1});
    site.store.away_parts = {home()};
    site.time.run_for(seconds{3});

    EXPECT_EQ(site.workers.done().size(), 2U);
    EXPECT_EQ(std::ranges::count(acknowledged, id), 0);
}

TEST_F(job_rows, AJobBehindAPageOfEndedOnesIsStartedByTheNextLeader)
{
    for (int number = 0; number <= page_rows; ++number) {
        site.store.put({"jobs", home(), fmt::format("{:016x}", number + 100)}, ended_row());
    }
    const std::string last{"ffffffffffffffff"};
    site.store.put({"jobs", home(), last}, batch::encode(make_job(last, 1, small_task)));
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(job_rows, AJobWhoseRunsAreBehindAPageOfOthersIsNotStartedAgain)
{
    start_job();
    for (int number = 0; number <= page_rows; ++number) {
        site.store.put({"runs", home(),
                        fmt::format("{:016x}", 0).substr(0, 12) + fmt::format("-{:03}", number)},
                       "a record without a job");
    }
    replace_leader();
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(job_rows, AJobBehindAPageIsFoundWhenThePartIsReadAgain)
{
    auto* const leader = site.await_leader();
    ASSERT_NE(leader, nullptr);
    for (int number = 0; number <= page_rows; ++number) {
        site.store.put({"jobs", home(), fmt::format("{:016x}", number + 100)}, ended_row());
    }
    site.time.run_for(seconds{1});
    site.store.decide = [name = leader->name](const std::string& vm, bool write) {
        return vm == name && !write ? fake_store::fate::refuse : fake_store::fate::serve;
    };
    site.time.run_for(seconds{3});
    const std::string last{"ffffffffffffffff"};
    site.store.put({"jobs", home(), last}, batch::encode(make_job(last, 1, small_task)));
    site.store.forget_history();
    site.store.decide = [](const std::string& /*vm*/, bool /*write*/) {
        return fake_store::fate::serve;
    };
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.workers.starts().size(), 1U);
}

} // namespace
} // namespace poplarstile::tests
