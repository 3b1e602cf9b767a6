#include "support/row_retention_test.hpp"

/// A job that was shown as ended is shown as ended in the same way later, whichever VM is asked.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr milliseconds task_duration{500};

class shown_end : public row_retention_test
{
protected:
    shown_end() : row_retention_test{task_duration}
    {
        for (const auto* const name : {"vm1", "vm2"}) {
            site.start(name);
        }
    }

    void start_job()
    {
        ASSERT_NE(site.await_leader(), nullptr);
        site.submit(make_job(id, 1, small_task));
        ASSERT_TRUE(
            site.time.run_until([this] { return !site.workers.starts().empty(); }, seconds{4}));
    }

    [[nodiscard]] std::optional<batch::job_status> shown_by(const std::string& vm)
    {
        std::optional<batch::job_status> status;
        frontend::caller_call call{frontend::call_kind::show,
                                   "host.example",
                                   "/queue/" + id,
                                   "key",
                                   milliseconds{1'000},
                                   {}};
        site.at(vm).frontend->handle(call, [&status](const frontend::caller_answer& answer) {
            if (const auto* const shown = std::get_if<frontend::job_shown>(&answer)) {
                status = shown->status;
            }
        });
        site.time.run_for(milliseconds{100});
        return status;
    }

    const std::string id{"0000000000000001"};
};

TEST_F(shown_end, AJobThatIsCancelledWhileItEndsIsNotShownAsCancelledThoughItCompleted)
{
    start_job();
    // The stop reaches the worker before the end, and the task ends before it is stopped.
    site.time.run_for(task_duration - milliseconds{50});
    site.cancel(id);

    const auto stored = site.await_end(id);

    site.time.run_for(seconds{1});
    EXPECT_EQ(shown_by("vm1"), stored);
    EXPECT_EQ(shown_by("vm2"), stored);
}

TEST_F(shown_end, AJobThatIsCancelledAndEndsWhileNobodyLeadsIsNotShownAsCancelled)
{
    start_job();
    const auto leader = site.leading_vm()->name;
    const std::string other = leader == "vm1" ? "vm2" : "vm1";
    site.stop(leader);
    site.cancel(id);
    // The task ends before anyone leads, so nothing stops it.
    const auto stored = site.await_end(id);

    site.time.run_for(seconds{1});
    EXPECT_EQ(stored, batch::job_status::completed);
    EXPECT_EQ(shown_by(other), stored);
}

TEST_F(shown_end, AJobIsNotShownAsOpenByALeaderThatDoesNotKnowThatItsEndIsStored)
{
    ASSERT_NE(site.await_leader(), nullptr);
    const auto leader = site.leading_vm()->name;
    const std::string other = leader == "vm1" ? "vm2" : "vm1";
    // The store applies the writes and does not answer, so the leader does not know of the end.
    site.store.decide = [leader](const std::string& vm, bool write) {
        return write && vm == leader ? fake_store::fate::late : fake_store::fate::serve;
    };
    site.submit(make_job(id, 1, small_task));
    ASSERT_EQ(site.await_end(id), batch::job_status::completed);
    ASSERT_TRUE(site.time.run_until([&] { return shown_by(other) == batch::job_status::completed; },
                                    seconds{3}));

    // Views may be older than the newest heartbeat by a second.
    site.time.run_for(seconds{2});

    EXPECT_EQ(shown_by(leader), batch::job_status::completed);
}

} // namespace
} // namespace poplarstile::tests
