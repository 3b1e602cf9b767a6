#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// A submission that the store carries out after its caller has cancelled the job.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using frontend::call_kind;
using std::chrono::seconds;

constexpr batch::resources worker_capacity{32'000, 65'536, 8};
constexpr batch::resources small_task{2'000, 4'000, 1};

class late_submission : public testing::Test
{
protected:
    late_submission()
    {
        site.workers.add("w1", "r1-1", worker_capacity);
        site.workers.need = [](const std::string& /*task*/) { return small_task; };
        site.submitted = make_job(id, 1, small_task);
        site.store.late_by = seconds{6};
        for (const auto* const name : {"vm1", "vm2", "vm3"}) {
            site.start(name);
        }
        EXPECT_NE(site.await_leader(), nullptr);
        site.time.run_for(seconds{1});
    }

    /// The answer to a call at a VM, if it comes within the caller's timeout.
    std::optional<frontend::caller_answer> call(const std::string& vm, call_kind kind)
    {
        constexpr milliseconds timeout{1'500};
        std::optional<frontend::caller_answer> answer;
        const frontend::caller_call made{kind,  "host.example", "/queue/" + id,
                                         "key", timeout,        "body"};
        site.at(vm).frontend->handle(
            made, [&answer](const frontend::caller_answer& got) { answer = got; });
        site.time.run_until([&answer] { return answer.has_value(); }, timeout);
        return answer;
    }

    /// Submits the job at vm2; its writes are carried out some time later and not answered.
    void submit_without_answer()
    {
        site.store.decide = [](const std::string& vm, bool is_write) {
            return vm == "vm2" && is_write ? fake_store::fate::late : fake_store::fate::serve;
        };
        const auto answer = call("vm2", call_kind::submit);
        ASSERT_TRUE(answer && std::holds_alternative<frontend::call_outcome_unknown>(*answer));
        site.store.decide = [](const std::string& /*vm*/, bool /*is_write*/) {
            return fake_store::fate::serve;
        };
    }

    void cancel_at(const std::string& vm)
    {
        const auto answer = call(vm, call_kind::cancel);
        ASSERT_TRUE(answer && std::holds_alternative<frontend::no_such_job>(*answer));
    }

    void expect_never_started()
    {
        EXPECT_EQ(site.await_end(id), batch::job_status::cancelled);
        EXPECT_TRUE(site.workers.starts().empty());
    }

    const std::string id{"0000000000000001"};
    site_fixture site;
};

// A cancel was answered with "no such job", and the job ran seconds later.
TEST_F(late_submission, DoesNotRunAfterItsCancelAtAnotherVm)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));

    expect_never_started();
}

TEST_F(late_submission, DoesNotRunAfterItsCancelAtTheVmThatSentIt)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm2"));

    expect_never_started();
}

TEST_F(late_submission, DoesNotRunAfterItsCancelAtAVmThatStartedAnew)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    site.start("vm3");
    site.time.run_for(seconds{1});
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));

    expect_never_started();
}

TEST_F(late_submission, DoesNotRunAfterItsCancelUnderAnotherLeader)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));
    const auto leader = site.leading_vm()->name;
    site.stop(leader);
    ASSERT_NE(site.await_leader(), nullptr);
    site.start(leader);

    expect_never_started();
}

TEST_F(late_submission, DoesNotRunAfterAQueryAndItsCancel)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    const auto shown = call("vm3", call_kind::show);
    ASSERT_TRUE(shown && std::holds_alternative<frontend::no_such_job>(*shown));
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));

    expect_never_started();
}

// The home part of the job was away when it was submitted.
TEST_F(late_submission, ToAnotherPartDoesNotRunAfterItsCancel)
{
    site.store.away_parts = {site.part_of(id)};
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    site.store.away_parts.clear();
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));
    site.time.run_for(seconds{15});

    EXPECT_TRUE(site.workers.starts().empty());
    const auto shown = call("vm3", call_kind::show);
    ASSERT_TRUE(shown && std::holds_alternative<frontend::job_shown>(*shown));
    EXPECT_EQ(std::get<frontend::job_shown>(*shown).status, batch::job_status::cancelled);
}

TEST_F(late_submission, IsCancelledWhenTheCallerRepeatsItAfterItsCancel)
{
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));

    const auto repeated = call("vm1", call_kind::submit);

    EXPECT_TRUE(repeated && std::holds_alternative<frontend::job_accepted>(*repeated));
    expect_never_started();
}

// The write of the request to cancel is not answered either.
TEST_F(late_submission, CancelWithoutAnswerFromTheStoreIsNotAcknowledged)
{
    site.workers.duration = [](const std::string& /*task*/) { return seconds{10}; };
    ASSERT_NO_FATAL_FAILURE(submit_without_answer());
    site.store.decide = [](const std::string& vm, bool is_write) {
        return vm == "vm3" && is_write ? fake_store::fate::late : fake_store::fate::serve;
    };

    const auto answer = call("vm3", call_kind::cancel);

    EXPECT_TRUE(answer && std::holds_alternative<frontend::call_outcome_unknown>(*answer));
    site.time.run_for(seconds{15});
    EXPECT_EQ(site.ended_as(id), batch::job_status::cancelled);
}

TEST_F(late_submission, LeavesNoRequestBehindForAJobThatNeverComes)
{
    constexpr seconds kept{135};
    ASSERT_NO_FATAL_FAILURE(cancel_at("vm3"));
    ASSERT_EQ(site.store.all("jobs").size(), 1U);

    site.time.run_for(kept);

    EXPECT_TRUE(site.store.all("jobs").empty());
}

} // namespace
} // namespace poplarstile::tests
