#include "integration/harness/cluster.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <thread>

namespace poplarstile::integration
{
namespace
{

using base::milliseconds;
using bench::checker::answer;

class requests_under_faults : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started = cluster::start({.rules = request_rules()});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system_ = std::move(started).value();
    }

    void TearDown() override
    {
        if (system_) {
            const auto found = bench::checker::check(system_->history(), {});
            EXPECT_TRUE(found.empty()) << describe(found);
        }
    }

    [[nodiscard]] std::future<short_answer> later(const std::string& vm, const short_request& asked)
    {
        return std::async(std::launch::async,
                          [this, vm, asked] { return system_->request(vm, asked); });
    }

    /// Waits until work of this marker runs.
    [[nodiscard]] bool runs(const std::string& marker)
    {
        return eventually(milliseconds{2'000}, [&] { return system_->executions_of(marker) > 0; });
    }

    void set_workers(const nlohmann::json& faults)
    {
        for (const auto& worker : system_->workers()) {
            system_->set_worker(worker, faults);
        }
    }

    const std::string vm1_ = "centro-vm1";
    const std::string vm2_ = "centro-vm2";
    std::unique_ptr<cluster> system_;
};

TEST_F(requests_under_faults, RepeatOfAKeyAfterItsVmWasKilledRunsNothingTwice)
{
    const short_request sheet{
        .service = "sheet", .key = "k1", .marker = "k1", .service_time = milliseconds{600}};
    auto first = later(vm1_, sheet);
    ASSERT_TRUE(runs("k1"));

    system_->kill_vm(vm1_);
    const auto repeat = system_->request(vm2_, sheet);

    EXPECT_EQ(first.get().told, answer::no_answer);
    EXPECT_EQ(repeat.told, answer::completed) << repeat.body.dump();
    EXPECT_EQ(repeat.marker, "k1");
    EXPECT_EQ(system_->executions_of("k1"), 1U);
}

TEST_F(requests_under_faults, RepeatOfAKeyWhileItsVmIsPausedRunsNothingTwice)
{
    const short_request sheet{
        .service = "sheet", .key = "k2", .marker = "k2", .service_time = milliseconds{200}};
    auto first = later(vm1_, sheet);
    ASSERT_TRUE(runs("k2"));

    system_->vm(vm1_).send_signal(SIGSTOP);
    const auto repeat = system_->request(vm2_, sheet);
    std::this_thread::sleep_for(milliseconds{1'000});
    system_->vm(vm1_).send_signal(SIGCONT);

    EXPECT_EQ(repeat.told, answer::completed) << repeat.body.dump();
    EXPECT_EQ(first.get().told, answer::completed);
    EXPECT_EQ(system_->executions_of("k2"), 1U);
}

TEST_F(requests_under_faults, SwallowedAnswersOfWorkThatMustNotRepeatAreAskedAfter)
{
    auto first = later(
        vm1_, {.service = "sheet", .key = "k3", .marker = "k3", .service_time = milliseconds{500}});
    ASSERT_TRUE(runs("k3"));

    system_->set_link(vm1_, "*", "silence_open");
    const auto got = first.get();

    EXPECT_EQ(got.told, answer::completed)
        << "the worker still knows the answer: " << got.body.dump();
    EXPECT_EQ(system_->executions_of("k3"), 1U);
}

TEST_F(requests_under_faults, SilentOpenConnectionsCostIdempotentWorkNoAnswer)
{
    for (int index = 0; index < 20; ++index) {
        EXPECT_EQ(system_->request(vm1_, {.marker = fmt::format("warm{}", index)}).told,
                  answer::completed);
    }

    system_->set_link(vm1_, "*", "silence_open");
    int completed = 0;
    std::vector<std::future<short_answer>> asked;
    asked.reserve(20);
    for (int index = 0; index < 20; ++index) {
        asked.push_back(later(vm1_, {.marker = fmt::format("after{}", index)}));
    }
    for (auto& each : asked) {
        completed += each.get().told == answer::completed ? 1 : 0;
    }

    EXPECT_EQ(completed, 20);
}

TEST_F(requests_under_faults, PlatformDownRefusesWorkThatMustNotRepeatAndServesTheRest)
{
    system_->set_platform({{"down", true}});

    const auto sheet = system_->request(vm1_, {.service = "sheet", .key = "k4", .marker = "k4"});
    const auto chart = system_->request(vm1_, {.marker = "c4"});

    EXPECT_EQ(sheet.told, answer::not_run) << sheet.body.dump();
    EXPECT_EQ(system_->executions_of("k4"), 0U);
    EXPECT_EQ(chart.told, answer::completed) << chart.body.dump();

    system_->set_platform({{"down", false}});
    const bool back = eventually(milliseconds{5'000}, [this] {
        return system_->request(vm1_, {.service = "sheet", .key = "k4", .marker = "k4"}).told ==
               answer::completed;
    });
    EXPECT_TRUE(back) << "the key must not be lost by the outage";
    EXPECT_EQ(system_->executions_of("k4"), 1U);
}

TEST_F(requests_under_faults, LostAnswersOfTheTableAreSettledByReading)
{
    system_->set_platform({{"lose_answers", 1.0}});

    const auto got = system_->request(vm1_, {.service = "sheet", .key = "k5", .marker = "k5"});

    EXPECT_EQ(got.told, answer::completed) << got.body.dump();
    EXPECT_EQ(system_->executions_of("k5"), 1U);
    system_->set_platform({{"lose_answers", 0.0}});
}

TEST_F(requests_under_faults, AWorkerThatFailsEverythingIsTakenOut)
{
    system_->set_worker(system_->workers().front(), {{"failing", true}});

    int completed = 0;
    constexpr int asked = 60;
    for (int index = 0; index < asked; ++index) {
        const auto got = system_->request(vm1_, {.marker = fmt::format("f{}", index)});
        completed += got.told == answer::completed ? 1 : 0;
    }

    EXPECT_EQ(completed, asked) << "failed idempotent work is tried on another worker";
    const auto records = system_->records().value("executions", nlohmann::json::array());
    const auto on_failing = std::ranges::count_if(records, [this](const nlohmann::json& row) {
        return row.value("worker", "") == system_->workers().front();
    });
    EXPECT_LE(on_failing, 10) << "an ejected worker gets canaries only";
}

TEST_F(requests_under_faults, AnswersThatComeTwiceOrLateStayWithTheirRequest)
{
    set_workers({{"answer_twice", true}, {"answer_late_ms", 40}});
    std::vector<std::future<short_answer>> asked;
    for (int index = 0; index < 30; ++index) {
        const auto marker = fmt::format("t{}", index);
        const bool once = index % 3 == 0;
        asked.push_back(later(index % 2 == 0 ? vm1_ : vm2_,
                              {.service = once ? "sheet" : "chart",
                               .key = marker,
                               .marker = marker,
                               .deadline = milliseconds{index % 5 == 0 ? 30 : 4'000}}));
    }
    for (auto& each : asked) {
        (void)each.get();
    }
}

TEST_F(requests_under_faults, ALeavingWorkerGetsNoNewWork)
{
    const auto& leaving = system_->workers().front();
    system_->set_worker(leaving, {{"leaving", true}});
    const auto since = base::wall_clock_us();
    for (int index = 0; index < 60; ++index) {
        EXPECT_EQ(system_->request(vm1_, {.marker = fmt::format("l{}", index)}).told,
                  answer::completed);
    }

    const auto records = system_->records().value("executions", nlohmann::json::array());
    const bool any = std::ranges::any_of(records, [&](const nlohmann::json& row) {
        return row.value("worker", "") == leaving && row.value("started_us", 0L) > since;
    });
    EXPECT_FALSE(any);
}

TEST_F(requests_under_faults, TerminationUnderLoadCutsNothing)
{
    std::vector<std::future<short_answer>> asked;
    for (int index = 0; index < 30; ++index) {
        const auto marker = fmt::format("d{}", index);
        asked.push_back(later(vm1_, {.service = index % 3 == 0 ? "sheet" : "chart",
                                     .key = marker,
                                     .marker = marker,
                                     .service_time = milliseconds{400}}));
    }
    ASSERT_TRUE(runs("d1"));

    system_->terminate_vm(vm1_);
    for (auto& each : asked) {
        const auto got = each.get();
        EXPECT_TRUE(got.told == answer::completed || got.told == answer::not_run)
            << got.body.dump();
    }
    EXPECT_EQ(system_->vm(vm1_).wait_for_exit(milliseconds{8'000}), 0);
}

} // namespace
} // namespace poplarstile::integration
