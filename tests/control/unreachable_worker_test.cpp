#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// Workers that can't be reached for a time: what ran there ends or starts elsewhere, and they get
/// work again when they answer.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr const char* job = "0000000000000001";
/// Longer than any lease of a worker that does not answer.
constexpr seconds long_cut{12};

class unreachable_worker : public testing::Test
{
protected:
    unreachable_worker()
    {
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.start("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
    }

    void add_workers(std::initializer_list<const char*> ids)
    {
        for (const auto* const id : ids) {
            site.workers.add(id, "r1-1", worker_capacity);
        }
        site.time.run_for(seconds{1});
    }

    /// Submits a job of one task and returns the worker that starts it.
    std::string start_job()
    {
        site.submit(make_job(job, 1, small_task));
        EXPECT_TRUE(
            site.time.run_until([&] { return !site.workers.starts().empty(); }, seconds{2}));
        return site.workers.starts().front().worker;
    }

    /// From now on another worker answers at the address of this one, whose process is gone.
    void displace(const std::string& worker)
    {
        site.workers.at(worker).up = false;
        take_address(worker);
    }

    /// From now on another worker answers polls at the address of this one, which runs on.
    void take_address(const std::string& worker)
    {
        auto& orders = site.at("vm1").orders;
        orders.look = [this, worker, look = orders.look](const fleet::look_order& order,
                                                         auto reply) {
            if (order.to.life.worker != worker) {
                look(order, reply);
                return;
            }
            fleet::look_reply answer;
            answer.outcome = fleet::order_outcome::other_life;
            site.time.after(milliseconds{1}, [reply, answer] { reply(answer); });
        };
    }

    site_fixture site;
};

TEST_F(unreachable_worker, WhoseAddressAnotherHasTakenDoesNotHoldItsRunsForGood)
{
    add_workers({"w1", "w2"});
    site.workers.duration = [](const std::string& /*task*/) { return seconds{3}; };
    site.workers.decide = [](const std::string& /*worker*/, const std::string& order) {
        return order == "start" ? fake_workers::fate::lose_answer : fake_workers::fate::serve;
    };
    const auto worker = start_job();
    site.workers.decide = [](const std::string& /*worker*/, const std::string& /*order*/) {
        return fake_workers::fate::serve;
    };

    displace(worker);

    EXPECT_EQ(site.await_end(job, seconds{30}), batch::job_status::completed);
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(unreachable_worker, WhoseAddressAnotherHasTakenWhileItIsCutOffRunsOnUntilItsLeasesAreOver)
{
    add_workers({"w1", "w2"});
    site.workers.duration = [](const std::string& /*task*/) { return seconds{20}; };
    const auto worker = start_job();
    site.time.run_for(seconds{1});

    take_address(worker);
    site.time.run_for(long_cut);

    EXPECT_EQ(site.workers.starts().size(), 2U) << "the task is started again";
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(unreachable_worker, WhoseAddressAnotherHasTakenHoldsNoUnansweredRun)
{
    add_workers({"w1", "w2"});
    site.workers.decide = [](const std::string& /*worker*/, const std::string& order) {
        return order == "start" ? fake_workers::fate::swallow : fake_workers::fate::serve;
    };
    site.submit(make_job(job, 1, small_task));
    site.time.run_for(milliseconds{300});
    ASSERT_TRUE(site.workers.starts().empty());
    site.workers.decide = [](const std::string& /*worker*/, const std::string& /*order*/) {
        return fake_workers::fate::serve;
    };

    for (const auto* const id : {"w1", "w2"}) {
        site.workers.crash(id);
        site.workers.displace(id, std::string{id} + "'");
    }

    // The worker may be cut off, have carried out the start and run on until its lease is over.
    EXPECT_TRUE(site.time.run_until([&] { return !site.workers.starts().empty(); }, seconds{8}));
}

TEST_F(unreachable_worker, GetsWorkAgainSoonAfterItAnswers)
{
    add_workers({"w1"});
    site.workers.duration = [](const std::string& /*task*/) { return seconds{9}; };
    const auto worker = start_job();

    site.workers.at(worker).answers = false;
    site.time.run_for(long_cut);
    site.workers.at(worker).answers = true;

    EXPECT_TRUE(site.time.run_until([&] { return site.workers.starts().size() == 2; }, seconds{4}));
    EXPECT_EQ(site.await_end(job, seconds{15}), batch::job_status::completed);
}

TEST_F(unreachable_worker, ATaskThatEndedWellThereIsNotStartedOnceMore)
{
    add_workers({"w1", "w2"});
    std::size_t runs = 0;
    site.workers.duration = [&runs](const std::string& /*task*/) {
        return ++runs == 1 ? seconds{3} : seconds{60};
    };
    const auto worker = start_job();
    site.workers.at(worker).answers = false;
    site.time.run_for(long_cut);
    ASSERT_EQ(site.workers.starts().size(), 2U);

    site.workers.at(worker).answers = true;

    EXPECT_EQ(site.await_end(job, seconds{5}), batch::job_status::completed);
    site.time.run_for(seconds{5});
    EXPECT_EQ(site.workers.starts().size(), 2U);
    for (const auto* const id : {"w1", "w2"}) {
        EXPECT_TRUE(site.workers.at(id).tasks.empty()) << id;
    }
}

} // namespace
} // namespace poplarstile::tests
