#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// Workers whose capacity changes while they run: no start brings one over what it has, what runs
/// there goes on, and new capacity is used.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources whole{32'000, 65'536, 8};
constexpr batch::resources half{16'000, 32'768, 4};
constexpr batch::resources nothing{};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr batch::resources large_task{4'000, 8'000, 4};
constexpr batch::resources task_without_accelerators{2'000, 4'000, 0};
constexpr const char* first_job = "0000000000000001";
constexpr const char* second_job = "0000000000000002";

class shrinking_worker : public testing::Test
{
protected:
    shrinking_worker()
    {
        site.workers.need = [this](const std::string& task) {
            return needs.at(task.substr(0, task.find('.')));
        };
        site.workers.add("w1", "r1-1", whole);
        start_vm("vm1");
        EXPECT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{1});
    }

    /// Starts a VM whose commits take `commit_delay` more, and which reads no registrations while
    /// `directory_away` is set.
    void start_vm(const std::string& name)
    {
        auto& made = site.start(name);
        made.rows.commit = [this, direct = made.rows.commit](
                               store::transaction sent,
                               const std::function<void(store::commit_reply)>& handler) {
            site.time.after(commit_delay, [direct, sent = std::move(sent), handler]() mutable {
                direct(std::move(sent), handler);
            });
        };
        made.directory.follow = [this, direct = made.directory.follow](
                                    store::row_version after, milliseconds wait,
                                    const std::function<void(fleet::directory_reply)>& handler) {
            direct(after, wait, [this, handler](const fleet::directory_reply& reply) {
                handler(directory_away ? fleet::directory_reply{} : reply);
            });
        };
    }

    void submit(const std::string& job, std::uint32_t tasks, batch::resources need)
    {
        needs[job] = need;
        site.submit(make_job(job, tasks, need));
    }

    void run_for(milliseconds duration)
    {
        site.workers.duration = [duration](const std::string& /*task*/) { return duration; };
    }

    [[nodiscard]] bool await_starts(std::size_t count, milliseconds span)
    {
        return site.time.run_until([&] { return site.workers.starts().size() >= count; }, span);
    }

    site_fixture site;
    std::map<std::string, batch::resources> needs{};
    milliseconds commit_delay{0};
    bool directory_away = false;
};

TEST_F(shrinking_worker, TakesNoStartThatWasPlannedBeforeAndNoLongerFits)
{
    commit_delay = seconds{5};
    submit(first_job, 2, large_task);
    site.time.run_for(milliseconds{100});

    site.workers.set_capacity("w1", half);
    commit_delay = milliseconds{0};

    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
    EXPECT_TRUE(site.workers.overfull().empty());
}

TEST_F(shrinking_worker, IsNotSentAStartAgainThatNoLongerFits)
{
    std::size_t sent = 0;
    site.workers.decide = [&sent](const std::string& /*worker*/, const std::string& order) {
        sent += order == "start" ? 1 : 0;
        return order == "start" ? fake_workers::fate::swallow : fake_workers::fate::serve;
    };
    submit(first_job, 1, whole);
    ASSERT_TRUE(site.time.run_until([&] { return sent == 1; }, seconds{2}));

    site.workers.set_capacity("w1", half);
    site.time.run_for(seconds{5});

    EXPECT_EQ(sent, 1U);
    site.workers.decide = [](const std::string& /*worker*/, const std::string& /*order*/) {
        return fake_workers::fate::serve;
    };
    site.workers.set_capacity("w1", whole);
    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
    EXPECT_TRUE(site.workers.doubled().empty());
}

TEST_F(shrinking_worker, GetsNoStartThatNeedsNothingOfWhatItLacks)
{
    run_for(seconds{20});
    submit(first_job, 8, small_task);
    ASSERT_TRUE(await_starts(8, seconds{2}));
    site.workers.set_capacity("w1", {32'000, 65'536, 4});
    site.time.run_for(seconds{6});

    submit(second_job, 1, task_without_accelerators);
    site.time.run_for(seconds{3});

    EXPECT_EQ(site.workers.starts().size(), 8U);
    EXPECT_TRUE(site.workers.overfull().empty());
    EXPECT_EQ(site.await_end(second_job, seconds{45}), batch::job_status::completed);
}

TEST_F(shrinking_worker, GetsNoStartByAnOldRegistration)
{
    directory_away = true;
    site.time.run_for(seconds{1});
    site.workers.set_capacity("w1", half);
    site.time.run_for(seconds{5});

    submit(first_job, 2, large_task);
    site.time.run_for(seconds{3});

    EXPECT_TRUE(site.workers.overfull().empty());
    directory_away = false;
    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
    EXPECT_TRUE(site.workers.overfull().empty());
}

TEST_F(shrinking_worker, FinishesWhatItRuns)
{
    run_for(seconds{8});
    submit(first_job, 8, small_task);
    ASSERT_TRUE(await_starts(8, seconds{2}));

    site.workers.set_capacity("w1", nothing);

    EXPECT_EQ(site.await_end(first_job), batch::job_status::completed);
    EXPECT_EQ(site.workers.starts().size(), 8U);
}

TEST_F(shrinking_worker, GetsWorkSoonAfterItHasGrown)
{
    site.workers.set_capacity("w1", nothing);
    site.time.run_for(seconds{6});
    submit(first_job, 2, large_task);
    site.time.run_for(seconds{3});
    ASSERT_TRUE(site.workers.starts().empty());

    site.workers.set_capacity("w1", whole);

    EXPECT_TRUE(await_starts(2, milliseconds{500}));
}

TEST_F(shrinking_worker, GetsNoStartBesideAdoptedRunsThatExceedIt)
{
    run_for(seconds{20});
    submit(first_job, 8, small_task);
    ASSERT_TRUE(await_starts(8, seconds{2}));
    site.workers.set_capacity("w1", half);
    site.time.run_for(seconds{1});

    site.stop("vm1");
    start_vm("vm2");
    ASSERT_NE(site.await_leader(seconds{20}), nullptr);
    submit(second_job, 1, small_task);
    site.time.run_for(seconds{5});

    EXPECT_EQ(site.workers.starts().size(), 8U);
    EXPECT_EQ(site.await_end(second_job, seconds{40}), batch::job_status::completed);
    EXPECT_TRUE(site.workers.overfull().empty());
}

// A gang that asks for one rack is not kept waiting for a rack that has become too small.
TEST_F(shrinking_worker, LetsAGangUseSeveralRacksWhenNoneCanHoldIt)
{
    site.workers.add("w2", "r1-2", whole);
    site.time.run_for(seconds{1});
    site.workers.set_capacity("w1", half);
    site.workers.set_capacity("w2", half);
    site.time.run_for(seconds{1});
    site.workers.gang_size = [](const std::string& /*task*/) { return 2U; };
    needs[first_job] = large_task;
    auto gang = make_job(first_job, 2, large_task);
    gang.spec.steps.front().gang = true;
    gang.spec.steps.front().one_rack = true;

    site.submit(gang);

    EXPECT_EQ(site.await_end(first_job, seconds{5}), batch::job_status::completed);
    EXPECT_TRUE(site.workers.overfull().empty());
}

} // namespace
} // namespace poplarstile::tests
