#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

#include <functional>

/// Answers to polls that don't tell everything: a run that they lack may be on the worker.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};
constexpr const char* job = "0000000000000001";

class poll_answer : public testing::Test
{
protected:
    poll_answer()
    {
        site.workers.add("w1", "r1-1", worker_capacity);
        site.workers.add("w2", "r1-1", worker_capacity);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.workers.duration = [](const std::string& /*task*/) { return seconds{5}; };
        auto& orders = site.start("vm1").orders;
        orders.look = [this, look = orders.look](const fleet::look_order& order, auto reply) {
            look(order, [this, reply](fleet::look_reply answer) {
                spoil(answer);
                reply(answer);
            });
        };
        EXPECT_NE(site.await_leader(), nullptr);
    }

    /// Runs a job, with spoilt answers in the middle of its task, for longer than a poll waits.
    void run_job()
    {
        site.submit(make_job(job, 1, small_task));
        site.time.run_for(seconds{1});
        spoilt = true;
        site.time.run_for(milliseconds{2'500});
        spoilt = false;
        EXPECT_EQ(site.await_end(job), batch::job_status::completed);
    }

    void expect_one_start() const
    {
        EXPECT_EQ(site.workers.starts().size(), 1U);
        EXPECT_TRUE(site.workers.doubled().empty());
    }

    site_fixture site;
    std::function<void(fleet::look_reply&)> spoil_answer{};
    bool spoilt = false;

private:
    void spoil(fleet::look_reply& answer) const
    {
        if (spoilt && answer.outcome == fleet::order_outcome::accepted) {
            spoil_answer(answer);
        }
    }
};

TEST_F(poll_answer, WithAnUnreadableEntryEndsNoRun)
{
    spoil_answer = [](fleet::look_reply& answer) {
        answer.unreadable = static_cast<std::uint32_t>(answer.running.size());
        answer.running.clear();
    };

    run_job();

    expect_one_start();
}

TEST_F(poll_answer, WithAnUnreadableEndAcknowledgesNothing)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{1'500}; };
    spoil_answer = [](fleet::look_reply& answer) {
        answer.unreadable = static_cast<std::uint32_t>(answer.ended.size());
        answer.ended.clear();
    };

    run_job();

    expect_one_start();
}

// A worker lists so many ends at once; a run may have ended beyond them.
TEST_F(poll_answer, ThatListsNotAllEndsEndsNoRun)
{
    site.workers.duration = [](const std::string& /*task*/) { return milliseconds{1'500}; };
    spoil_answer = [](fleet::look_reply& answer) {
        answer.more_ends = true;
        answer.ended.clear();
    };

    run_job();

    expect_one_start();
}

} // namespace
} // namespace poplarstile::tests
