#include "integration/harness/cluster.hpp"
#include "support/persistent_callers.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <future>
#include <thread>

/// A VM that gets SIGTERM answers what it was asked before it ends.
namespace poplarstile::integration
{
namespace
{

using base::milliseconds;
using bench::checker::answer;

TEST(RequestsAtTermination, AJobSubmissionInFlightIsAnswered)
{
    auto started = cluster::start(
        {.rules = request_rules(), .settings = {{"platform", {{"write_timeout_ms", 5'000}}}}});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();
    const auto& vm = system.vms().front();
    system.set_platform({{"delay_ms", 2'500}});
    auto submitted = std::async(std::launch::async, [&system, &vm] {
        return system.caller_call(
            vm, {.method = "POST",
                 .url = "/v1/jobs",
                 .headers = {{"X-Workspace", "kits"}, {"Idempotency-Key", "j1"}},
                 .body = R"({"class":"chart","shape":"1x1","payload":{"run_ms":10}})",
                 .timeout = milliseconds{9'000}});
    });
    std::this_thread::sleep_for(milliseconds{200});
    system.terminate_vm(vm);

    const auto got = submitted.get();
    EXPECT_EQ(got.outcome, net::delivery::answered) << got.failure;
    EXPECT_EQ(got.status, 202) << got.body;
    EXPECT_EQ(system.vm(vm).wait_for_exit(milliseconds{9'000}), 0);
}

TEST(RequestsAtTermination, RequestsOnOpenConnectionsAreAnsweredUntilTheProcessIsGone)
{
    constexpr int rounds = 4;
    auto started = cluster::start({.rules = request_rules()});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();
    const auto& vm = system.vms().front();
    for (int round = 0; round < rounds; ++round) {
        const auto send = [&](int caller, int number) {
            const auto marker = fmt::format("{}-{}-{}", round, caller, number);
            const auto got =
                system.request(vm, {.service = "chart", .key = marker, .marker = marker});
            return got.told != answer::no_answer;
        };
        tests::persistent_callers callers{24, send};
        std::this_thread::sleep_for(milliseconds{200});
        system.terminate_vm(vm);
        EXPECT_EQ(system.vm(vm).wait_for_exit(milliseconds{9'000}), 0);

        EXPECT_EQ(callers.stop(), 0) << "in round " << round;
        ASSERT_TRUE(system.restart_vm(vm));
    }
}

} // namespace
} // namespace poplarstile::integration
