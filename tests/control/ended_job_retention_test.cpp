#include "support/row_retention_test.hpp"

/// The stored state of an ended job is kept for the time promised to callers, and not much longer,
/// whatever happens to leaders and parts of the store when the job ends.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class ended_job_retention : public row_retention_test
{
protected:
    ended_job_retention() : row_retention_test{milliseconds{2'500}}
    {
        site.workers.add("w2", "r1-1", worker_capacity);
    }

    void start_vms()
    {
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            site.start(name);
        }
        ASSERT_NE(site.await_leader(), nullptr);
    }

    [[nodiscard]] bool is_stored(const std::string& id) const
    {
        return site.store.find({"jobs", site.part_of(id), id}).has_value();
    }

    /// Expects that the row of a job that has just ended stands for its time and goes soon after.
    void expect_kept_for_its_time(const std::string& id)
    {
        const auto ended = site.time.now();
        site.time.run_until([&] { return !is_stored(id); }, site.leading.status_retention);
        EXPECT_TRUE(is_stored(id))
            << id << " was removed " << base::milliseconds_between(ended, site.time.now())
            << " ms after its end";
        EXPECT_TRUE(site.time.run_until([&] { return !is_stored(id); }, removal_bound))
            << id << " was not removed after its time";
    }

    /// The store applies the end of a job half a minute after its leader sent it; the leader has
    /// lost power by then, and no other VM could take over before.
    void end_late_without_leader(const std::string& id)
    {
        site.submit(make_job(id, 1, small_task));
        const auto is_done = [this] { return !site.workers.done().empty(); };
        auto* const leader = site.leading_vm();
        site.store.late_by = seconds{30};
        site.store.decide = [is_done, name = leader->name](const std::string& vm, bool write) {
            if (!write || !is_done()) {
                return fake_store::fate::serve;
            }
            return vm == name ? fake_store::fate::late : fake_store::fate::refuse;
        };
        ASSERT_TRUE(site.time.run_until(is_done, seconds{5}));
        site.time.run_for(seconds{25});
        ASSERT_FALSE(site.ended_as(id));
        site.stop(leader->name);
        ASSERT_EQ(site.await_end(id, seconds{10}), batch::job_status::completed);
        site.store.decide = [](const std::string& /*vm*/, bool /*write*/) {
            return fake_store::fate::serve;
        };
    }

    /// Two jobs of one part, the smaller id first.
    [[nodiscard]] std::pair<std::string, std::string> two_jobs_of_one_part() const
    {
        const auto first = fmt::format("{:016x}", 1);
        for (int number = 2;; ++number) {
            const auto second = fmt::format("{:016x}", number);
            if (site.part_of(second) == site.part_of(first)) {
                return {first, second};
            }
        }
    }
};

TEST_F(ended_job_retention, AnEndStoredRightAfterATakeoverIsKeptForItsTime)
{
    start_vms();
    const std::string id{"0000000000000001"};
    site.submit(make_job(id, 3, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 3; }, seconds{2}));
    site.time.run_for(milliseconds{1'500});

    replace_leader();

    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.time.run_for(milliseconds{100});
    // A successor has only the stored time.
    replace_leader();
    expect_kept_for_its_time(id);
}

TEST_F(ended_job_retention, AnEndThatWaitsOutAnOutageOfItsPartIsKeptForItsTime)
{
    start_vms();
    const std::string id{"0000000000000001"};
    site.submit(make_job(id, 3, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 3; }, seconds{2}));

    site.store.away_parts = {site.part_of(id)};
    site.time.run_for(seconds{60});
    site.store.away_parts.clear();

    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    site.time.run_for(milliseconds{100});
    // A successor has only the stored time.
    replace_leader();
    expect_kept_for_its_time(id);
}

TEST_F(ended_job_retention, AnEndThatTheStoreAppliesLateIsKeptForItsTime)
{
    // The store holds all writes back from the moment the job is done, and applies the first of
    // them half a minute later.
    start_vms();
    const std::string id{"0000000000000001"};
    site.submit(make_job(id, 1, small_task));
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 1; }, seconds{2}));
    const auto held_until = site.time.now() + seconds{33};
    site.store.late_by = seconds{30};
    site.store.decide = [this, held_until](const std::string& /*vm*/, bool write) {
        const bool held = write && !site.workers.done().empty() && site.time.now() < held_until;
        return held ? fake_store::fate::late : fake_store::fate::serve;
    };

    ASSERT_EQ(site.await_end(id, seconds{60}), batch::job_status::completed);
    site.time.run_for(seconds{3});
    replace_leader();
    expect_kept_for_its_time(id);
}

TEST_F(ended_job_retention, AnEndThatIsAppliedLateAfterItsLeaderIsGoneIsKeptForItsTime)
{
    start_vms();
    const std::string id{"0000000000000001"};
    end_late_without_leader(id);
    ASSERT_NE(site.await_leader(), nullptr);

    expect_kept_for_its_time(id);
}

TEST_F(ended_job_retention, AnEndThatIsAppliedLateIsKeptThoughTheNextLeaderIsGoneAtOnce)
{
    start_vms();
    const std::string id{"0000000000000001"};
    end_late_without_leader(id);
    // The next leader reads the row, and loses power before it stores anything but its leases.
    ASSERT_TRUE(site.time.run_until([&] { return site.leading_vm() != nullptr; }, seconds{10}));
    site.stop(site.leading_vm()->name);
    ASSERT_NE(site.await_leader(), nullptr);

    expect_kept_for_its_time(id);
}

TEST_F(ended_job_retention, AnEndIsNotCountedAnewByEachLeader)
{
    start_vms();
    const std::string id{"0000000000000001"};
    site.submit(make_job(id, 1, small_task));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    const auto ended = site.time.now();
    for (int leaders = 0; leaders < 4; ++leaders) {
        site.time.run_for(seconds{20});
        replace_leader();
    }

    const auto kept_until = ended + site.leading.status_retention + removal_bound;
    site.time.run_for(std::chrono::duration_cast<milliseconds>(kept_until - site.time.now()));
    EXPECT_FALSE(is_stored(id));
}

TEST_F(ended_job_retention, AnEndStoredWithoutATimeIsKeptForItsTime)
{
    const std::string id{"0000000000000001"};
    site.store.put({"jobs", site.part_of(id), id},
                   batch::encode(batch::finished_job{batch::job_status::completed, "queue",
                                                     "workspace", std::nullopt}));

    start_vms();
    site.time.run_for(seconds{40});
    replace_leader();

    site.time.run_for(seconds{75});
    EXPECT_TRUE(is_stored(id)) << "no leader knows that its time is over";
    EXPECT_TRUE(site.time.run_until([&] { return !is_stored(id); }, seconds{30}))
        << "each leader counts its time anew";
}

TEST_F(ended_job_retention, AnEarlyEndIsRemovedThoughALaterOneIsReadFirst)
{
    start_vms();
    const auto [late, early] = two_jobs_of_one_part();
    site.submit(make_job(early, 1, small_task));
    ASSERT_EQ(site.await_end(early), batch::job_status::completed);
    const auto ended = site.time.now();
    site.time.run_for(seconds{60});
    site.submit(make_job(late, 1, small_task));
    ASSERT_EQ(site.await_end(late), batch::job_status::completed);

    replace_leader();

    const auto kept_until = ended + site.leading.status_retention + removal_bound;
    site.time.run_for(std::chrono::duration_cast<milliseconds>(kept_until - site.time.now()));
    EXPECT_FALSE(is_stored(early));
    EXPECT_TRUE(is_stored(late));
}

TEST_F(ended_job_retention, ADuplicateInAPartThatWasAwayForLongDoesNotRunAgain)
{
    // A submission was stored in two parts because a reply was lost. The leader never saw one of
    // them, and removed the row of the other when its time was over.
    start_vms();
    const std::string id{"0000000000000001"};
    const auto other = site.parts.name((site.parts.home_of(id) + 1) % site.parts.size());
    auto duplicate = make_job(id, 1, small_task);
    site.store.away_parts = {other};
    replace_leader();
    site.store.put({"jobs", other, id}, batch::encode(duplicate));
    site.submit(duplicate);
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();

    site.store.away_parts.clear();
    site.time.run_for(seconds{20});

    EXPECT_EQ(site.workers.starts().size(), 1U);
    EXPECT_EQ(site.ended_as(id), std::nullopt) << "the rows go once all parts have been read";
    EXPECT_FALSE(site.store.find({"jobs", other, id}));
}

TEST_F(ended_job_retention, JobsThatEndWhileLeadersChangeAreKeptForTheirTime)
{
    start_vms();
    constexpr int jobs = 16;
    std::map<std::string, base::time_point> ended;
    for (int number = 1; number <= jobs; ++number) {
        const auto id = fmt::format("{:016x}", number);
        site.submit(make_job(id, 2, small_task));
        site.time.run_for(milliseconds{1'500 + number * 97});
        replace_leader();
        ASSERT_EQ(site.await_end(id), batch::job_status::completed) << id;
        ended[id] = site.time.now();
    }

    for (const auto& [id, at] : ended) {
        const auto kept_until = at + site.leading.status_retention;
        const auto left = std::chrono::duration_cast<milliseconds>(kept_until - site.time.now());
        site.time.run_until([&, job = id] { return !is_stored(job); }, left);
        EXPECT_TRUE(is_stored(id)) << id;
    }
    site.time.run_for(removal_bound);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

} // namespace
} // namespace poplarstile::tests
