#include "dispatch/dispatcher.hpp"
#include "rules/rules_text.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace poplarstile::dispatch
{
namespace
{

using base::milliseconds;
using workers::execute_state;

constexpr std::string_view rules_text = R"(# asked by: tests
class chart
# asked by: tests
class sheet not_idempotent
# asked by: tests
workspace kits share 1
)";

class dispatcher_test : public testing::Test
{
protected:
    dispatcher_test()
    {
        auto parsed = rules::parse_rules(rules_text);
        (void)vm_.decide(rules_changed{std::make_shared<rules::ruleset>(std::move(parsed).value())},
                         now_);
    }

    actions ask(request_number number, const std::string& service, milliseconds deadline)
    {
        return vm_.decide(request_received{{number, fmt::format("q{}", number), "kits", service,
                                            fmt::format("key{}", number), "{}", deadline}},
                          now_);
    }

    actions report(request_number number, const std::string& attempt, execute_state state)
    {
        return vm_.decide(attempt_reported{number, attempt, {.state = state}}, now_);
    }

    actions pass(milliseconds time)
    {
        now_ += time;
        return vm_.decide(time_passed{}, now_);
    }

    template <class Kind>
    static std::vector<Kind> only(const actions& all)
    {
        std::vector<Kind> found;
        for (const auto& one : all) {
            if (const auto* const match = std::get_if<Kind>(&one)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /// Ejects a worker by failures of different requests.
    void eject_both_workers()
    {
        for (request_number number = 1'000; number < 1'100 && !both_ejected(); ++number) {
            auto sent = only<send_execute>(ask(number, "chart", milliseconds{60'000}));
            while (!sent.empty()) {
                const auto attempt = sent.front().call.attempt;
                sent = only<send_execute>(report(number, attempt, execute_state::failed));
            }
        }
    }
    [[nodiscard]] bool both_ejected() const
    {
        return vm_.workers().ejected(0) && vm_.workers().ejected(1);
    }

    base::time_point now_{};
    std::vector<routing::worker_description> workers_{{"w0", "a0", 2}, {"w1", "a1", 2}};
    dispatcher vm_{{.vm = "vm", .run_id = "r", .pool = {.max_ejected_share = 1.0}}, workers_};
};

TEST_F(dispatcher_test, WorkThatFindsNoWorkerDoesNotHoldUpTheCanaryBehindIt)
{
    eject_both_workers();
    ASSERT_TRUE(both_ejected());
    EXPECT_TRUE(only<write_ledger>(ask(1, "sheet", milliseconds{60'000})).empty());
    EXPECT_TRUE(only<send_execute>(ask(2, "chart", milliseconds{60'000})).empty());

    const auto actions = pass(milliseconds{10'000});

    EXPECT_EQ(only<send_execute>(actions).size(), 1U)
        << "only idempotent work may try an ejected worker, so it must not wait behind other work";
}

TEST_F(dispatcher_test, ShortDeadlinesDoNotEjectWorkers)
{
    for (request_number number = 1; number <= 20; ++number) {
        (void)ask(number, "chart", milliseconds{30});
        (void)pass(milliseconds{40});
    }

    EXPECT_FALSE(vm_.workers().ejected(0));
    EXPECT_FALSE(vm_.workers().ejected(1));
}

TEST_F(dispatcher_test, SilenceOfASecondEjectsAWorker)
{
    for (request_number number = 1; number <= 8; ++number) {
        (void)ask(number, "chart", milliseconds{1'500});
    }
    (void)pass(milliseconds{1'600});
    for (request_number number = 11; number <= 18; ++number) {
        (void)ask(number, "chart", milliseconds{1'500});
    }
    (void)pass(milliseconds{1'600});

    EXPECT_TRUE(both_ejected());
}

TEST_F(dispatcher_test, NothingIsSentAfterTheDeadline)
{
    const auto written = only<write_ledger>(ask(1, "sheet", milliseconds{100}));
    ASSERT_EQ(written.size(), 1U);
    now_ += milliseconds{101};

    const auto actions = vm_.decide(
        ledger_written{1, {.state = table::commit_state::committed, .version = 7}}, now_);

    EXPECT_TRUE(only<send_execute>(actions).empty());
    const auto answers = only<give_answer>(actions);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.result, outcome::not_run);
}

TEST_F(dispatcher_test, RetriesTheRecordOfAnEndUntilTheTableTakesIt)
{
    (void)ask(1, "sheet", milliseconds{5'000});
    const auto sent = only<send_execute>(vm_.decide(
        ledger_written{1, {.state = table::commit_state::committed, .version = 7}}, now_));
    ASSERT_EQ(sent.size(), 1U);
    const auto ended = report(1, sent.front().call.attempt, execute_state::completed);
    ASSERT_EQ(only<write_ledger>(ended).size(), 1U);
    ASSERT_EQ(only<give_answer>(ended).size(), 1U) << "the caller does not wait for the record";

    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::unknown}}, now_);
    const auto again = only<write_ledger>(pass(milliseconds{1'000}));
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again.front().transaction.conditions.front().version, 7U);
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::conflict}}, now_);

    EXPECT_EQ(vm_.counters().unconfirmed_records, 0U);
    EXPECT_TRUE(only<write_ledger>(pass(milliseconds{10'000})).empty());
}

TEST_F(dispatcher_test, DoubtAboutAnEarlierAttemptDoesNotHideAnothersRow)
{
    const auto first = only<write_ledger>(ask(1, "sheet", milliseconds{5'000}));
    ASSERT_EQ(first.size(), 1U);
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::unknown}}, now_);
    const auto& write = first.front().transaction.writes.front();
    const auto sent = only<send_execute>(vm_.decide(
        ledger_read{1, std::optional{table::table_row{write.key, 7, write.value}}}, now_));
    ASSERT_EQ(sent.size(), 1U) << "the row is its own";
    const auto attempt = sent.front().call.attempt;
    (void)report(1, attempt, execute_state::lost);
    const auto second = only<write_ledger>(
        vm_.decide(attempt_reported{1, attempt, {.state = execute_state::fenced}, true}, now_));
    ASSERT_EQ(second.size(), 1U) << "the attempt never ran, so that another is made";
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::conflict}}, now_);

    const base::error unreadable{base::error_code::platform_unreachable, "", "", ""};
    const auto answers = only<give_answer>(vm_.decide(ledger_read{1, unreadable}, now_));

    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.result, outcome::unknown)
        << "the row is another request's, whose work may have run";
}

TEST_F(dispatcher_test, ARowThatCannotBeReadMayStandForWorkThatRan)
{
    const auto written = only<write_ledger>(ask(1, "sheet", milliseconds{5'000}));
    ASSERT_EQ(written.size(), 1U);
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::conflict}}, now_);

    const table::table_row row{
        written.front().transaction.writes.front().key, 7, {{"state", "of a later release"}}};
    const auto answers = only<give_answer>(vm_.decide(ledger_read{1, std::optional{row}}, now_));

    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.result, outcome::unknown);
}

// The first write came to nothing, and another VM's row came before the second.
TEST_F(dispatcher_test, AConflictAfterADoubtfulWriteMayBeAnothersRow)
{
    (void)ask(1, "sheet", milliseconds{5'000});
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::unknown}}, now_);
    const auto again = only<write_ledger>(vm_.decide(ledger_read{1, std::nullopt}, now_));
    ASSERT_EQ(again.size(), 1U);
    (void)vm_.decide(ledger_written{1, {.state = table::commit_state::conflict}}, now_);

    const base::error unreadable{base::error_code::platform_unreachable, "", "", ""};
    const auto answers = only<give_answer>(vm_.decide(ledger_read{1, unreadable}, now_));

    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().answer.result, outcome::unknown);
}

TEST_F(dispatcher_test, AWorkerThatLeftAndCameBackGetsWorkAgain)
{
    request_number number = 0;
    for (; number < 50; ++number) {
        auto sent = only<send_execute>(ask(number, "chart", milliseconds{5'000}));
        while (!sent.empty()) {
            const auto attempt = sent.front().call.attempt;
            sent = only<send_execute>(vm_.decide(
                attempt_reported{
                    number, attempt, {.state = execute_state::refused, .leaving = true}},
                now_));
        }
    }
    (void)pass(milliseconds{60'000});

    const auto sent = only<send_execute>(ask(++number, "chart", milliseconds{5'000}));

    ASSERT_EQ(sent.size(), 1U) << "both left a minute ago; nobody tells when they are back";
    (void)report(number, sent.front().call.attempt, execute_state::completed);
    EXPECT_EQ(only<write_ledger>(ask(++number, "sheet", milliseconds{5'000})).size(), 1U)
        << "one that has answered gets work that may not be repeated as well";
}

TEST_F(dispatcher_test, ATableThatDoesNotAnswerIsAskedByOneRequestAtATime)
{
    for (request_number number = 1; number <= 3; ++number) {
        (void)ask(number, "sheet", milliseconds{5'000});
        (void)vm_.decide(ledger_written{number, {.state = table::commit_state::not_applied}}, now_);
    }

    EXPECT_EQ(only<write_ledger>(ask(4, "sheet", milliseconds{5'000})).size(), 1U);
    const auto refused = ask(5, "sheet", milliseconds{5'000});
    EXPECT_TRUE(only<write_ledger>(refused).empty());
    ASSERT_EQ(only<give_answer>(refused).size(), 1U) << "refused at once, not after a timeout";
    EXPECT_EQ(only<give_answer>(refused).front().answer.result, outcome::not_run);
    EXPECT_EQ(only<send_execute>(ask(6, "chart", milliseconds{5'000})).size(), 1U)
        << "idempotent work needs no table";

    (void)vm_.decide(ledger_written{4, {.state = table::commit_state::committed, .version = 9}},
                     now_);
    EXPECT_EQ(only<write_ledger>(ask(7, "sheet", milliseconds{5'000})).size(), 1U);
}

} // namespace
} // namespace poplarstile::dispatch
