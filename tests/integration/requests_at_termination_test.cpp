#include "integration/harness/cluster.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <vector>

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

/// Callers that send one request after another on connections that they keep, and don't stop when
/// the VM says that it leaves.
class persistent_callers
{
public:
    persistent_callers(cluster& system, const std::string& vm, int callers)
    {
        calling_.reserve(static_cast<std::size_t>(callers));
        for (int caller = 0; caller < callers; ++caller) {
            calling_.push_back(std::async(std::launch::async, [this, &system, vm, caller] {
                for (int number = 0; !stopping_; ++number) {
                    const auto marker = fmt::format("{}-{}", caller, number);
                    const auto got =
                        system.request(vm, {.service = "chart", .key = marker, .marker = marker});
                    unanswered_ += got.told == answer::no_answer ? 1 : 0;
                    std::this_thread::sleep_for(milliseconds{10});
                }
            }));
        }
    }

    /// Stops the callers and returns how many requests got no answer.
    int stop()
    {
        stopping_ = true;
        calling_.clear();
        return unanswered_;
    }

private:
    std::atomic<bool> stopping_ = false;
    std::atomic<int> unanswered_ = 0;
    std::vector<std::future<void>> calling_;
};

TEST(RequestsAtTermination, RequestsOnOpenConnectionsAreAnsweredUntilTheProcessIsGone)
{
    constexpr int rounds = 4;
    auto started = cluster::start({.rules = request_rules()});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();
    const auto& vm = system.vms().front();
    for (int round = 0; round < rounds; ++round) {
        persistent_callers callers{system, vm, 24};
        std::this_thread::sleep_for(milliseconds{200});
        system.terminate_vm(vm);
        EXPECT_EQ(system.vm(vm).wait_for_exit(milliseconds{9'000}), 0);

        EXPECT_EQ(callers.stop(), 0) << "in round " << round;
        ASSERT_TRUE(system.restart_vm(vm));
    }
}

} // namespace
} // namespace poplarstile::integration
