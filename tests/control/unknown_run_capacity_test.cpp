#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <utility>

/// A run that is on a worker although the leader has no record of it there holds its room until it
/// has ended: no start brings the worker over its capacity, and work goes on afterwards.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;
using fate = fake_workers::fate;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr batch::resources most{16'000, 32'768, 6};
constexpr batch::resources half{4'000, 8'000, 4};
constexpr batch::resources without_accelerators{2'000, 4'000, 0};
constexpr const char* first_job = "0000000000000001";
constexpr const char* first_task = "0000000000000001.0.0.0";
constexpr const char* second_job = "0000000000000002";
constexpr const char* third_job = "0000000000000003";
/// A poll that waits for an end is answered after at most this time.
constexpr milliseconds next_poll{2'200};
constexpr seconds slow_stop{4};

class unknown_run_capacity : public testing::Test
{
protected:
    unknown_run_capacity()
    {
        site.workers.need = [this](const std::string& task) { return needs.at(job_of(task)); };
        site.workers.duration = [this](const std::string& task) {
            return durations.contains(task) ? durations.at(task) : milliseconds{1'000};
        };
        site.workers.add("w1", "r1-1", whole);
        start_vm("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{1});
    }

    static std::string job_of(const std::string& task)
    {
        return task.substr(0, task.find('.'));
    }

    /// Starts a VM that can't read the parts in `unreachable`, and whose lists of runs and answers
    /// to starts are spoilt while the test says so.
    void start_vm(const std::string& name)
    {
        auto& made = site.start(name);
        made.rows.read =
            [this, direct = made.rows.read](store::read_range range,
                                            const std::function<void(store::read_reply)>& handler) {
                if (unreachable.contains(range.part)) {
                    site.time.after(site.store.call_timeout, [handler] { handler({}); });
                } else {
                    direct(std::move(range), handler);
                }
            };
        made.rows.commit = [this, direct = made.rows.commit](
                               store::transaction sent,
                               const std::function<void(store::commit_reply)>& handler) {
            site.time.after(commit_delay, [direct, sent = std::move(sent), handler]() mutable {
                direct(std::move(sent), handler);
            });
        };
        made.orders.look = [this, direct = made.orders.look](const fleet::look_order& order,
                                                             auto reply) {
            direct(order, [this, reply](fleet::look_reply answer) {
                if (unreadable_lists) {
                    answer.unreadable_running = static_cast<std::uint32_t>(answer.running.size());
                    answer.unreadable += answer.unreadable_running;
                    answer.running.clear();
                }
                reply(std::move(answer));
            });
        };
        made.orders.start = [this, direct = made.orders.start](const fleet::start_order& order,
                                                               auto reply) {
            if (!deny_starts) {
                direct(order, reply);
                return;
            }
            direct(order, [reply](fleet::order_reply answer) {
                answer.outcome = fleet::order_outcome::other_life;
                reply(answer);
            });
        };
    }

    void submit(const std::string& job, std::uint32_t tasks, batch::resources need)
    {
        needs[job] = need;
        site.submit(make_job(job, tasks, need));
    }

    /// A run that the worker goes on with, whatever became of it here.
    void place_run(const std::string& task, std::uint32_t run, milliseconds lasts)
    {
        auto& worker = site.workers.at("w1");
        const auto now = site.time.now();
        worker.tasks[task] = {run, now, now + lasts, {}, true};
    }

    /// Runs the first job on the worker, which a successor then finds ended in the store.
    void leave_run_to_successor()
    {
        durations[first_task] = seconds{30};
        submit(first_job, 1, most);
        ASSERT_TRUE(await_starts(1));
        site.stop("vm1");
        batch::finished_job finished;
        finished.status = batch::job_status::completed;
        finished.queue = "queue";
        finished.workspace = "workspace";
        site.store.put({"jobs", site.part_of(first_job), first_job}, batch::encode(finished));
        submit(second_job, 1, half);
        start_vm("vm2");
        ASSERT_NE(site.await_leader(), nullptr);
    }

    [[nodiscard]] bool await_starts(std::size_t count, milliseconds span = seconds{3})
    {
        return site.time.run_until([&] { return site.workers.starts().size() >= count; }, span);
    }

    void expect_done_within_capacity(const std::string& job)
    {
        EXPECT_EQ(site.await_end(job), batch::job_status::completed);
        EXPECT_TRUE(site.workers.overfull().empty());
        EXPECT_TRUE(site.workers.doubled().empty());
    }

    site_fixture site;
    std::map<std::string, batch::resources> needs{};
    std::map<std::string, milliseconds> durations{};
    std::set<std::string> unreachable{};
    milliseconds commit_delay{0};
    bool unreadable_lists = false;
    bool deny_starts = false;
};

TEST_F(unknown_run_capacity, OfAnEarlierLeaderCountsWhileItIsStopped)
{
    site.workers.stop_time = slow_stop;

    ASSERT_NO_FATAL_FAILURE(leave_run_to_successor());

    expect_done_within_capacity(second_job);
}

TEST_F(unknown_run_capacity, OfAnEarlierLeaderCountsWhileStopsAreNotAnswered)
{
    const auto stops_lost_until = site.time.now() + seconds{12};
    site.workers.decide = [this, stops_lost_until](const std::string& /*worker*/,
                                                   const std::string& order) {
        return order == "stop" && site.time.now() < stops_lost_until ? fate::swallow : fate::serve;
    };

    ASSERT_NO_FATAL_FAILURE(leave_run_to_successor());

    expect_done_within_capacity(second_job);
}

TEST_F(unknown_run_capacity, InAListThatCannotBeReadCounts)
{
    unreadable_lists = true;

    ASSERT_NO_FATAL_FAILURE(leave_run_to_successor());
    site.time.run_for(seconds{3});
    EXPECT_EQ(site.workers.starts().size(), 1U);
    site.workers.stop_time = slow_stop;
    unreadable_lists = false;

    expect_done_within_capacity(second_job);
}

TEST_F(unknown_run_capacity, OfAPartThatIsNotReadCounts)
{
    durations[first_task] = seconds{20};
    submit(first_job, 1, most);
    ASSERT_TRUE(await_starts(1));
    site.stop("vm1");
    unreachable.insert(site.part_of(first_job));
    ASSERT_NE(site.part_of(first_job), site.part_of(second_job));
    submit(second_job, 1, half);
    start_vm("vm2");
    ASSERT_NE(site.await_leader(seconds{12}), nullptr);
    site.time.run_for(seconds{4});
    EXPECT_EQ(site.workers.starts().size(), 1U);

    unreachable.clear();

    expect_done_within_capacity(second_job);
    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
}

// Something else answered for the worker, which has taken the start; both may be asked again.
TEST_F(unknown_run_capacity, WhoseStartWasAnsweredByAnotherLifeCounts)
{
    durations[first_task] = seconds{10};
    deny_starts = true;
    submit(first_job, 1, most);
    ASSERT_TRUE(await_starts(1));
    deny_starts = false;

    submit(second_job, 1, half);

    expect_done_within_capacity(second_job);
    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
    EXPECT_TRUE(site.workers.doubled().empty());
}

// Its worker has run on beyond its leases.
TEST_F(unknown_run_capacity, ThatWasGivenUpInSilenceCountsOnceItIsListed)
{
    durations[first_task] = seconds{20};
    submit(first_job, 1, most);
    ASSERT_TRUE(await_starts(1));
    auto& worker = site.workers.at("w1");
    worker.answers = false;
    site.time.run_for(seconds{15});
    place_run(first_task, 1, seconds{30});
    worker.lease_until += 60'000;
    worker.ended.clear();
    worker.forbidden.clear();
    site.workers.stop_time = slow_stop;
    durations[first_task] = seconds{1};

    worker.answers = true;

    expect_done_within_capacity(first_job);
}

// The task has ended here under another number. What its need leaves free is used meanwhile.
TEST_F(unknown_run_capacity, OfATaskThatHasEndedUnderAnotherNumberCounts)
{
    site.workers.stop_time = slow_stop;
    durations["0000000000000001.0.0.1"] = seconds{15};
    submit(first_job, 2, half);
    ASSERT_TRUE(await_starts(2));
    site.time.run_for(seconds{2});
    ASSERT_EQ(site.workers.done().count(first_task), 1U);
    place_run(first_task, 5, seconds{30});
    site.time.run_for(next_poll);
    const auto submitted = site.time.now();

    submit(second_job, 1, half);
    submit(third_job, 1, without_accelerators);

    EXPECT_EQ(site.await_end(third_job), batch::job_status::completed);
    EXPECT_LT(site.time.now() - submitted, seconds{2});
    expect_done_within_capacity(second_job);
}

// A start that was planned before the list came is not sent after it.
TEST_F(unknown_run_capacity, ThatIsListedAfterAPlanHoldsBackItsStarts)
{
    site.workers.stop_time = slow_stop;
    durations[first_task] = seconds{15};
    submit(first_job, 1, without_accelerators);
    ASSERT_TRUE(await_starts(1));
    site.time.run_for(next_poll);
    needs["0000000000000009"] = most;
    commit_delay = seconds{3};

    submit(second_job, 1, half);
    site.time.run_for(milliseconds{100});
    place_run("0000000000000009.0.0.0", 1, seconds{30});
    commit_delay = milliseconds{0};

    expect_done_within_capacity(second_job);
}

// Runs that only the worker tells of are runs of their step.
TEST_F(unknown_run_capacity, CountsForTheMostOfItsStepOnOneWorker)
{
    site.workers.stop_time = slow_stop;
    durations["0000000000000002.0.0.0"] = seconds{30};
    submit(second_job, 1, without_accelerators);
    ASSERT_TRUE(await_starts(1));
    needs[first_job] = without_accelerators;
    place_run("0000000000000001.0.0.1", 5, seconds{30});
    site.time.run_for(next_poll);

    auto job = make_job(first_job, 2, without_accelerators);
    job.spec.steps.front().max_per_worker = 1;
    site.submit(job);
    ASSERT_TRUE(await_starts(2, seconds{12}));

    EXPECT_EQ(site.workers.starts().back().task, first_task);
    EXPECT_EQ(site.workers.at("w1").tasks.count("0000000000000001.0.0.1"), 0U);
}

// The answer of a poll comes after that of a later poll, which listed the run's end.
TEST_F(unknown_run_capacity, IsNotBroughtBackByAnAnswerThatWasOvertaken)
{
    auto& orders = site.at("vm1").orders;
    bool delay_next = false;
    orders.look = [this, &delay_next, direct = orders.look](const fleet::look_order& order,
                                                            auto reply) {
        direct(order, [this, &delay_next, reply](fleet::look_reply answer) {
            const bool delayed = delay_next && !answer.running.empty();
            delay_next = delay_next && !delayed;
            site.time.after(delayed ? milliseconds{5'000} : milliseconds{0},
                            [reply, answer] { reply(answer); });
        });
    };
    std::size_t stops = 0;
    orders.stop = [&stops, direct = orders.stop](const fleet::stop_order& order, auto reply) {
        stops += batch::to_text(order.task) == first_task ? 1U : 0U;
        direct(order, reply);
    };
    durations[first_task] = seconds{4};
    submit(first_job, 1, without_accelerators);
    ASSERT_TRUE(await_starts(1));
    delay_next = true;
    ASSERT_TRUE(site.time.run_until([&] { return !delay_next; }, seconds{4}));
    ASSERT_EQ(site.workers.done().count(first_task), 0U);
    ASSERT_TRUE(site.time.run_until([&] { return site.workers.done().count(first_task) == 1U; },
                                    seconds{4}));

    deny_starts = true;
    submit(second_job, 1, without_accelerators);
    site.time.run_for(milliseconds{100});
    deny_starts = false;
    site.time.run_for(seconds{6});

    EXPECT_EQ(stops, 0U);
}

} // namespace
} // namespace poplarstile::tests
