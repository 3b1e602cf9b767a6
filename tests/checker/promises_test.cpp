#include "bench/checker/promises.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace poplarstile::bench::checker
{
namespace
{

constexpr wall_us second = 1'000'000;

/// A run in which every promise was kept; each test breaks one of them.
history kept_history()
{
    history seen;
    seen.vms = {"vm-1", "vm-2", "vm-3"};
    seen.observed_until = 100 * second;
    seen.requests = {{.request = "r1",
                      .marker = "a",
                      .service = "preview",
                      .vm = "vm-1",
                      .sent = second,
                      .answered = 2 * second,
                      .told = answer::completed,
                      .answered_marker = "a"},
                     {.request = "r2",
                      .marker = "b",
                      .service = "print_sheet",
                      .vm = "vm-2",
                      .idempotent = false,
                      .sent = second,
                      .answered = 2 * second,
                      .told = answer::completed,
                      .answered_marker = "b"},
                     {.request = "r3",
                      .marker = "c",
                      .service = "preview",
                      .vm = "vm-1",
                      .sent = second,
                      .answered = second,
                      .told = answer::not_run}};
    seen.executions = {{.worker = "w1", .marker = "a", .started = second, .ended = 2 * second},
                       {.worker = "w2", .marker = "b", .started = second, .ended = 2 * second}};
    seen.jobs = {
        {.job = "j1", .job_class = "print_sheet", .idempotent = false, .state = "completed"}};
    seen.tasks = {{.worker = "w1",
                   .task = "t1",
                   .job = "j1",
                   .gang_size = 2,
                   .member = 0,
                   .held = second,
                   .released = 2 * second,
                   .ended = 20 * second},
                  {.worker = "w2",
                   .task = "t2",
                   .job = "j1",
                   .gang_size = 2,
                   .member = 1,
                   .held = second,
                   .released = 3 * second,
                   .ended = 21 * second}};
    seen.faults = {{30 * second, fault_kind::kill_vm, "vm-2"},
                   {40 * second, fault_kind::drain_vm, "vm-3"}};
    seen.change = {50 * second, 2};
    seen.rules = {{10 * second, "vm-1", 1}, {51 * second, "vm-1", 2}};
    return seen;
}

std::vector<violation> only(promise broken, const std::vector<violation>& found)
{
    EXPECT_TRUE(std::ranges::all_of(found, [&](const auto& each) { return each.broken == broken; }))
        << "a fault planted for one promise was counted against another";
    return found;
}

TEST(check, finds_nothing_in_a_kept_history)
{
    EXPECT_TRUE(check(kept_history(), {}).empty());
}

TEST(check, finds_an_answer_that_belongs_to_another_request)
{
    auto seen = kept_history();
    seen.requests[0].answered_marker = "b";

    const auto found = only(promise::own_answer, check(seen, {}));

    ASSERT_EQ(found.size(), 1);
    EXPECT_EQ(found[0].subject, "r1");
}

TEST(check, finds_a_missing_answer)
{
    auto seen = kept_history();
    seen.requests[0].told = answer::no_answer;

    EXPECT_EQ(only(promise::whole_answer, check(seen, {})).size(), 1);
}

TEST(check, excuses_a_missing_answer_of_a_killed_vm)
{
    auto seen = kept_history();
    seen.requests[1].told = answer::no_answer;
    seen.requests[1].sent = 29 * second;

    EXPECT_TRUE(check(seen, {}).empty());
}

TEST(check, finds_a_request_cut_off_by_a_graceful_shutdown)
{
    auto seen = kept_history();
    seen.requests[0].vm = "vm-3";
    seen.requests[0].sent = 39 * second;
    seen.requests[0].told = answer::no_answer;

    EXPECT_EQ(only(promise::graceful_shutdown, check(seen, {})).size(), 1);
}

TEST(check, finds_a_request_that_is_not_idempotent_and_ran_twice)
{
    auto seen = kept_history();
    seen.executions.push_back({.worker = "w3", .marker = "b", .started = 2 * second});

    const auto found = only(promise::at_most_once, check(seen, {}));

    ASSERT_EQ(found.size(), 1);
    EXPECT_NE(found[0].evidence.find("w3"), std::string::npos) << found[0].evidence;
}

TEST(check, allows_an_idempotent_request_to_run_twice)
{
    auto seen = kept_history();
    seen.executions.push_back({.worker = "w3", .marker = "a", .started = 2 * second});

    EXPECT_TRUE(check(seen, {}).empty());
}

TEST(check, finds_a_job_that_is_not_idempotent_and_ran_twice)
{
    auto seen = kept_history();
    auto again = seen.tasks;
    again[0].task = "t3";
    again[0].released = again[1].released = 30 * second;
    again[0].ended = again[1].ended = 40 * second;
    again[1].task = "t4";
    seen.tasks.insert(seen.tasks.end(), again.begin(), again.end());

    EXPECT_EQ(only(promise::at_most_once, check(seen, {})).size(), 2) << "one for each member";
}

TEST(check, keeps_jobs_with_long_names_apart)
{
    auto seen = kept_history();
    const auto members = std::vector<task_record>(seen.tasks.begin(), seen.tasks.begin() + 2);
    const auto job = seen.jobs[0];
    for (int number = 0; number < 8; ++number) {
        const auto name = "a-job-whose-name-is-kept-on-the-heap-" + std::to_string(number);
        seen.jobs.push_back(job);
        seen.jobs.back().job = name;
        for (const auto& member : members) {
            seen.tasks.push_back(member);
            seen.tasks.back().job = name;
            seen.tasks.back().task = name + "." + std::to_string(member.member);
        }
    }

    const auto twice = only(promise::at_most_once, check(seen, {}));

    EXPECT_TRUE(twice.empty()) << "each job ran once, yet: " << twice[0].evidence;
}

TEST(check, allows_members_that_were_held_but_never_started)
{
    auto seen = kept_history();
    auto held = seen.tasks[0];
    held.task = "t3";
    held.released = 0;
    seen.tasks.push_back(held);

    EXPECT_TRUE(check(seen, {}).empty());
}

TEST(check, finds_a_run_of_a_request_that_was_told_not_run)
{
    auto seen = kept_history();
    seen.executions.push_back({.worker = "w3", .marker = "c", .started = 9 * second});

    EXPECT_EQ(only(promise::not_run_is_true, check(seen, {})).size(), 1);
}

TEST(check, blames_not_run_for_a_run_before_the_next_try_was_sent)
{
    auto seen = kept_history();
    auto retry = seen.requests[2];
    retry.request = "r4";
    retry.sent = 5 * second;
    retry.told = answer::completed;
    retry.answered_marker = "c";
    seen.requests.push_back(retry);
    seen.executions.push_back({.worker = "w3", .marker = "c", .started = 4 * second});

    EXPECT_EQ(only(promise::not_run_is_true, check(seen, {})).size(), 1);

    seen.executions.back().started = 6 * second;
    EXPECT_TRUE(check(seen, {}).empty()) << "this run belongs to the second try";
}

TEST(check, finds_a_rejected_job_that_ran)
{
    auto seen = kept_history();
    seen.jobs[0].state = "rejected";

    EXPECT_EQ(only(promise::not_run_is_true, check(seen, {})).size(), 1);
}

TEST(check, finds_a_gang_that_ran_in_part_for_longer_than_its_lease)
{
    auto seen = kept_history();
    seen.tasks[1].ended = 16 * second;

    const auto found = only(promise::whole_gang, check(seen, {}));

    ASSERT_EQ(found.size(), 1) << "member 1 ended 4 s before member 0; the lease is 3 s";
    EXPECT_EQ(found[0].subject, "j1");
    EXPECT_TRUE(check(seen, {.partial_gang = 5 * second}).empty());
}

TEST(check, finds_a_gang_of_which_a_member_never_started)
{
    auto seen = kept_history();
    seen.tasks[1].released = 0;

    EXPECT_EQ(only(promise::whole_gang, check(seen, {})).size(), 1);
}

TEST(check, finds_work_taken_by_a_leaving_vm)
{
    auto seen = kept_history();
    seen.requests[0].vm = "vm-3";
    seen.requests[0].sent = 44 * second;

    EXPECT_EQ(only(promise::nothing_to_leaving_vm, check(seen, {})).size(), 1);

    seen.requests[0].sent = 42 * second;
    EXPECT_TRUE(check(seen, {}).empty()) << "2 s after it began to leave is within the bound";
}

TEST(check, finds_a_vm_on_which_an_accepted_rule_never_came_into_force)
{
    auto seen = kept_history();
    seen.rules.pop_back();

    EXPECT_EQ(only(promise::rule_in_force, check(seen, {})).size(), 1);
    EXPECT_EQ(time_until_in_force(seen), -1);
}

TEST(check, finds_a_rule_that_came_into_force_too_late)
{
    auto seen = kept_history();
    seen.rules.back().at = 61 * second;

    EXPECT_EQ(only(promise::rule_in_force, check(seen, {})).size(), 1);
}

TEST(check, finds_a_rule_that_went_back)
{
    auto seen = kept_history();
    seen.rules.push_back({60 * second, "vm-1", 1});

    EXPECT_EQ(only(promise::rule_never_reverts, check(seen, {})).size(), 1);
}

TEST(time_until_in_force, is_that_of_the_slowest_vm_that_stays)
{
    auto seen = kept_history();
    seen.vms.emplace_back("vm-4");
    seen.rules.push_back({53 * second, "vm-4", 2});

    EXPECT_EQ(time_until_in_force(seen), 3 * second);
}

} // namespace
} // namespace poplarstile::bench::checker
