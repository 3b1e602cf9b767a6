#include "batch/job_codec.hpp"
#include "frontend/api_frontend.hpp"
#include "support/fake_store.hpp"
#include "support/fixed_configuration.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>

/// What callers are answered when parts of the store, earlier calls or other workspaces are in the
/// way, and what is stored then.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using frontend::call_kind;
using std::chrono::seconds;

constexpr const char* id = "0000000000000001";
constexpr milliseconds caller_timeout{3'000};
constexpr milliseconds oldest_configuration{60'000};

/// The queue `queue` at host.example/queue/, for callers with the key of `workspace`.
catalog::contents one_keyed_queue()
{
    catalog::contents contents;
    contents.version = 1;
    catalog::queue queue;
    queue.policy = {"queue", "service", 1, 3, 3.0, milliseconds{1'000}};
    queue.host = "host.example";
    queue.prefix = "/queue/";
    contents.queues.push_back(queue);
    contents.workspaces.push_back({"workspace", {"key"}, 0});
    contents.services.push_back({"service", 0, false, false});
    return contents;
}

class api_answers : public testing::Test
{
protected:
    api_answers()
    {
        configuration_.start();
        frontend::frontend_ports ports;
        ports.rows = &rows_;
        ports.time = &time.timers();
        ports.configuration = &configuration_;
        ports.views = &views;
        ports.on_stored = [this](const store::row& row) { told.push_back(row); };
        ports.on_uncertain_submission = [this](const std::string& /*job*/) { ++told_uncertain; };
        ports.decode = [this](std::string_view /*body*/) {
            batch::job_spec spec;
            spec.payload = payload;
            batch::step_spec step;
            step.task_count = 1;
            step.need = {2'000, 4'000, 1};
            spec.steps.push_back(step);
            return base::result<batch::job_spec>{spec};
        };
        frontend::frontend_options options;
        options.parts = parts;
        options.oldest_configuration = oldest_configuration;
        frontend_ = std::make_unique<frontend::api_frontend>(std::move(ports), options);
    }

    [[nodiscard]] store::row_id row_in(std::size_t part) const
    {
        return {"jobs", parts.name(part), id};
    }
    [[nodiscard]] store::row_id home_row() const
    {
        return row_in(parts.home_of(id));
    }
    [[nodiscard]] static std::string ended_row()
    {
        return batch::encode(
            batch::finished_job{batch::job_status::completed, "queue", "workspace", std::nullopt});
    }

    /// The answer to a call, if it comes within the caller's timeout.
    std::optional<frontend::caller_answer> call(call_kind kind, const std::string& key = "key")
    {
        std::optional<frontend::caller_answer> answer;
        const frontend::caller_call made{kind, "host.example", std::string{"/queue/"} + id,
                                         key,  caller_timeout, "body"};
        frontend_->handle(made, [&answer](const frontend::caller_answer& got) { answer = got; });
        time.run_until([&answer] { return answer.has_value(); }, caller_timeout);
        return answer;
    }
    template <class Answer>
    [[nodiscard]] bool answers(call_kind kind)
    {
        const auto answer = call(kind);
        return answer && std::holds_alternative<Answer>(*answer);
    }
    void answer_writes(fake_store::fate writes)
    {
        store.decide = [writes](const std::string& /*vm*/, bool write) {
            return write ? writes : fake_store::fate::serve;
        };
    }

    virtual_time time{};
    fake_store store{time};
    store::part_map parts{"site", 4};
    frontend::job_views views{time.timers(), milliseconds{1'000}, 100};
    std::vector<store::row> told{};
    int told_uncertain = 0;

private:
    store::row_store rows_ = store.port("vm1");
    catalog::configuration_source source_ = fixed_configuration(one_keyed_queue());
    catalog::configuration_cache configuration_{source_, time.timers()};

protected:
    std::unique_ptr<frontend::api_frontend> frontend_{};
    /// Payload of every submission.
    std::string payload{};
};

TEST_F(api_answers, AJobIsFoundInWhicheverPartItIsStored)
{
    // Ends that were found once are remembered, so the job has not ended.
    batch::submission open;
    open.job = id;
    open.policy.queue = "queue";
    open.spec.steps.emplace_back().task_count = 1;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        store.put(row_in(part), batch::encode(open));
        EXPECT_TRUE(answers<frontend::job_shown>(call_kind::show)) << "part " << part;
        store.remove(row_in(part));
    }
}

TEST_F(api_answers, AJobIsNotMissingWhileAPartCannotBeRead)
{
    for (std::size_t part = 0; part < parts.size(); ++part) {
        store.away_parts = {parts.name(part)};
        EXPECT_FALSE(answers<frontend::no_such_job>(call_kind::show)) << "part " << part;
        EXPECT_FALSE(answers<frontend::no_such_job>(call_kind::cancel)) << "part " << part;
    }
}

TEST_F(api_answers, AJobWithAnUnreadableRowIsNotMissing)
{
    store.put(home_row(), "not a job");

    EXPECT_TRUE(answers<frontend::call_outcome_unknown>(call_kind::show));
}

TEST_F(api_answers, AJobOfAnotherWorkspaceIsNotShown)
{
    views.note({id, "queue", "other", batch::job_status::completed});

    EXPECT_TRUE(answers<frontend::key_of_another_workspace>(call_kind::show));
}

TEST_F(api_answers, AKeyOfNobodyIsNotServed)
{
    const auto answer = call(call_kind::submit, "stranger");

    EXPECT_TRUE(answer && std::holds_alternative<frontend::key_unknown>(*answer));
    EXPECT_TRUE(store.all("jobs").empty());
}

TEST_F(api_answers, AnOldConfigurationIsNotServedFrom)
{
    time.run_for(oldest_configuration + seconds{1});

    EXPECT_TRUE(answers<frontend::call_refused>(call_kind::submit));
    EXPECT_TRUE(store.all("jobs").empty());
}

TEST_F(api_answers, ASubmissionDoesNotReplaceTheRowOfItsEndedJob)
{
    store.put(home_row(), ended_row());

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
    EXPECT_EQ(store.find(home_row())->value, ended_row());
}

TEST_F(api_answers, AStoredSubmissionIsKnownAndToldOfAndNotStoredAgain)
{
    ASSERT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
    EXPECT_TRUE(views.knows(id));
    ASSERT_EQ(told.size(), 1U);
    EXPECT_EQ(told.front().id, home_row());
    answer_writes(fake_store::fate::refuse);

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
}

TEST_F(api_answers, AJobThatFitsIntoNoRowIsRejectedAtOnce)
{
    const auto sent = time.now();
    payload.assign(frontend::frontend_options{}.max_row_bytes, 'x');

    EXPECT_TRUE(answers<frontend::call_malformed>(call_kind::submit));
    EXPECT_EQ(time.now(), sent);
    EXPECT_TRUE(store.all("jobs").empty());
}

TEST_F(api_answers, ARefusedSubmissionIsTriedAgain)
{
    int calls = 0;
    store.decide = [&calls](const std::string& /*vm*/, bool write) {
        calls += write ? 1 : 0;
        return write && calls == 1 ? fake_store::fate::refuse : fake_store::fate::serve;
    };

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
}

TEST_F(api_answers, ASubmissionThatTheStoreRefusesIsAnsweredBeforeItsCallerGivesUp)
{
    answer_writes(fake_store::fate::refuse);
    const auto sent = time.now();

    EXPECT_TRUE(answers<frontend::call_refused>(call_kind::submit));
    EXPECT_LE(time.now() - sent, caller_timeout - milliseconds{300});
    EXPECT_EQ(told_uncertain, 0);
}

TEST_F(api_answers, ASubmissionInDoubtIsNotRefusedAndAllAreTold)
{
    answer_writes(fake_store::fate::swallow);

    EXPECT_TRUE(answers<frontend::call_outcome_unknown>(call_kind::submit));
    EXPECT_EQ(told_uncertain, 1);
    EXPECT_EQ(frontend_->uncertain_submissions(), 1U);
}

TEST_F(api_answers, ASubmissionInDoubtIsNotStoredInAnotherPart)
{
    views.set_loads({}, true);
    answer_writes(fake_store::fate::late);
    time.after(milliseconds{300}, [this] {
        store.away_parts = {home_row().part};
        answer_writes(fake_store::fate::serve);
    });
    (void)call(call_kind::submit);
    time.run_for(seconds{5});

    EXPECT_EQ(store.all("jobs").size(), 1U);
    EXPECT_TRUE(store.find(home_row()));
}

TEST_F(api_answers, ANewJobIsStoredInAnotherPartWhileItsHomeIsAway)
{
    views.set_loads({}, true);
    store.away_parts = {home_row().part};

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
}

TEST_F(api_answers, AJobThatMayBeStoredIsNotStoredInAnotherPart)
{
    store.away_parts = {home_row().part};
    views.set_loads({}, false);
    EXPECT_FALSE(answers<frontend::job_accepted>(call_kind::submit));

    views.set_loads({}, true);
    frontend_->mark_uncertain(id);
    EXPECT_FALSE(answers<frontend::job_accepted>(call_kind::submit));
    EXPECT_TRUE(store.all("jobs").empty());
}

TEST_F(api_answers, AJobThatMayBeStoredWaitsForItsPartInsteadOfBeingRefused)
{
    views.set_loads({}, true);
    frontend_->mark_uncertain(id);
    store.away_parts = {home_row().part};
    time.after(seconds{1}, [this] { store.away_parts.clear(); });

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
}

TEST_F(api_answers, AJobCountsAsNewAgainOnceNoEarlierCallCanTakeEffect)
{
    constexpr seconds uncertain_bound{40};
    frontend_->mark_uncertain(id);
    time.run_for(uncertain_bound);
    views.set_loads({}, true);
    store.away_parts = {home_row().part};

    EXPECT_TRUE(answers<frontend::job_accepted>(call_kind::submit));
}

// The caller was told that the job never runs, while its first submission was still under way.
TEST_F(api_answers, ARefusedRepeatOfASubmissionInDoubtIsNotReportedAsRefused)
{
    answer_writes(fake_store::fate::late);
    ASSERT_TRUE(answers<frontend::call_outcome_unknown>(call_kind::submit));
    answer_writes(fake_store::fate::refuse);

    EXPECT_TRUE(answers<frontend::call_outcome_unknown>(call_kind::submit));
}

TEST_F(api_answers, ACancelThatIsStoredAlreadyIsAccepted)
{
    store.put(home_row(), ended_row());
    ASSERT_TRUE(answers<frontend::cancel_accepted>(call_kind::cancel));

    EXPECT_TRUE(answers<frontend::cancel_accepted>(call_kind::cancel));
    EXPECT_EQ(told.size(), 1U);
}

// A submission that the store has not answered may be carried out after the cancel.
TEST_F(api_answers, ACancelOfAJobThatIsNotThereIsStoredOnce)
{
    EXPECT_TRUE(answers<frontend::no_such_job>(call_kind::cancel));
    EXPECT_TRUE(answers<frontend::no_such_job>(call_kind::cancel));

    const auto stored = store.all("jobs");
    ASSERT_EQ(stored.size(), 1U);
    EXPECT_EQ(stored.front().id.key, std::string{id} + ".cancel");
    EXPECT_EQ(stored.front().id.part, home_row().part);
}

TEST_F(api_answers, ACancelOfAJobThatIsNotThereIsNotAcknowledgedWhileItCannotBeStored)
{
    answer_writes(fake_store::fate::swallow);

    EXPECT_FALSE(answers<frontend::no_such_job>(call_kind::cancel));
}

// What is not the id of a job must not name a row.
TEST_F(api_answers, ACancelWithoutAJobIdStoresNothing)
{
    for (const std::string job : {"", "short", "000000000000000g", "0000000000000001.cancel"}) {
        std::optional<frontend::caller_answer> answer;
        frontend_->handle(
            {call_kind::cancel, "host.example", "/queue/" + job, "key", caller_timeout, "body"},
            [&answer](const frontend::caller_answer& got) { answer = got; });
        time.run_for(caller_timeout);

        EXPECT_TRUE(answer && std::holds_alternative<frontend::no_such_job>(*answer)) << job;
    }
    EXPECT_TRUE(store.all("jobs").empty());
}

TEST_F(api_answers, ACancelOfAJobThatIsKnownToBeOverStoresNothing)
{
    views.note({id, "queue", "workspace", batch::job_status::completed});

    EXPECT_TRUE(answers<frontend::cancel_accepted>(call_kind::cancel));
    EXPECT_TRUE(store.all("jobs").empty());
}

} // namespace
} // namespace poplarstile::tests
