#include "support/row_retention_test.hpp"

/// A row that the leader hears of late, when it is gone from the store, is no new job; a row that
/// comes while parts are read is not missed.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class replayed_rows : public row_retention_test
{
protected:
    replayed_rows() : row_retention_test{milliseconds{500}}
    {
        site.leading.status_retention = seconds{5};
    }

    /// Starts a VM whose reads pass through `read_through`, if that is set.
    void start_vm(const std::string& name)
    {
        auto& made = site.start(name);
        made.rows.read =
            [this, direct = made.rows.read](store::read_range range,
                                            const std::function<void(store::read_reply)>& handler) {
                if (read_through) {
                    read_through(direct, std::move(range), handler);
                } else {
                    direct(std::move(range), handler);
                }
            };
    }

    [[nodiscard]] store::row_id row_in(std::size_t part) const
    {
        return {"jobs", site.parts.name(part), id};
    }
    [[nodiscard]] std::string encoded_job() const
    {
        auto job = make_job(id, 1, small_task);
        job.accepted_ms = virtual_time::unix_start_ms;
        return batch::encode(job);
    }
    [[nodiscard]] std::size_t home() const
    {
        return site.parts.home_of(id);
    }
    [[nodiscard]] std::size_t other() const
    {
        return (home() + 1) % site.parts.size();
    }

    using reader = std::function<void(store::read_range, std::function<void(store::read_reply)>)>;

    std::string id{"0000000000000001"};
    std::function<void(const reader&, store::read_range,
                       const std::function<void(store::read_reply)>&)>
        read_through{};
};

TEST_F(replayed_rows, ALateReportOfARemovedJobIsNotANewJob)
{
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    site.submit(make_job(id, 1, small_task));
    const auto accepted = *site.store.find(row_in(home()));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();
    ASSERT_FALSE(site.store.find(row_in(home())));

    // A VM that was frozen for long reports the row that it stored.
    site.leading_vm()->node->receive(
        cluster::stored_row{accepted.id.part, accepted.id.key, accepted.value, accepted.version},
        [](const std::optional<cluster::message>& /*answer*/) {});
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.workers.starts().size(), 1U);
}

TEST_F(replayed_rows, ARowThatAnEarlierLeaderDroppedDoesNotTakeTheOtherWithIt)
{
    start_vm("vm1");
    start_vm("vm2");
    ASSERT_NE(site.await_leader(), nullptr);
    site.stop(site.leading_vm()->name);
    // The next leader reads the home part at once and the other part later.
    site.store.away_parts = {site.parts.name(other())};
    ASSERT_TRUE(site.time.run_until([&] { return site.elected_vm() != nullptr; }, seconds{8}));
    site.time.run_for(milliseconds{60});
    ASSERT_EQ(site.leading_vm(), nullptr);

    // Meanwhile the job is stored in both parts, and the earlier leader, which still holds the
    // lease of the other part, drops the row there.
    site.store.put(row_in(other()), encoded_job());
    site.store.put(row_in(home()), encoded_job());
    site.store.remove(row_in(other()));
    site.store.away_parts.clear();
    site.workers.duration = [](const std::string& /*task*/) { return seconds{5}; };
    ASSERT_NE(site.await_leader(), nullptr);
    site.time.run_for(seconds{1});

    EXPECT_TRUE(site.store.find(row_in(home())) || site.store.find(row_in(other())));
}

TEST_F(replayed_rows, AJobThatIsGoneIsNotTakenFromHistoryWhenAPartIsReadLater)
{
    start_vm("vm1");
    const auto late = site.parts.name(other());
    bool served = false;
    read_through = [&](const reader& direct, const store::read_range& range, const auto& handler) {
        if (!served && range.table == "runs" && range.part == late) {
            site.time.after(milliseconds{4}, [handler] {
                store::read_reply reply;
                reply.outcome = store::call_outcome::refused;
                handler(reply);
            });
        } else {
            direct(range, handler);
        }
    };
    ASSERT_NE(site.await_leader(), nullptr);
    site.submit(make_job(id, 1, small_task));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    wait_for_removal();

    served = true;
    site.time.run_for(seconds{10});

    EXPECT_EQ(site.workers.starts().size(), 1U);
    EXPECT_TRUE(site.store.all("jobs").empty());
}

TEST_F(replayed_rows, AJobThatIsStoredWhileThePartsAreReadAgainIsNotMissed)
{
    start_vm("vm1");
    ASSERT_NE(site.await_leader(), nullptr);
    // All parts but the job's are read a little later, after it was stored.
    read_through = [&](const reader& direct, const store::read_range& range, const auto& handler) {
        const bool delayed = range.part != site.parts.name(home());
        const auto answered = [this, handler, delayed](const store::read_reply& reply) {
            site.time.after(milliseconds{delayed ? 0 : 50}, [handler, reply] { handler(reply); });
        };
        site.time.after(milliseconds{delayed ? 20 : 0},
                        [direct, range, answered] { direct(range, answered); });
    };
    site.store.forget_history();
    site.time.run_for(milliseconds{12});
    site.submit(make_job(id, 1, small_task));

    EXPECT_EQ(site.await_end(id), batch::job_status::completed);
}

} // namespace
} // namespace poplarstile::tests
