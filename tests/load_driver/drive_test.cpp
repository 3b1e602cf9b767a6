#include "bench/load_driver/drive.hpp"
#include "bench/load_driver/report.hpp"
#include "net/http_server.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>

namespace poplarstile::bench::load_driver
{
namespace
{

using nlohmann::json;

/// An entry VM on both ports that completes everything at once, or refuses it.
class fake_vm
{
public:
    explicit fake_vm(std::string id) : id_{std::move(id)}
    {
        server_ = net::http_server::start({}, [this](const net::http_request& request,
                                                     const net::http_responder& responder) {
                      responder.send(answer(request));
                  }).value();
    }

    [[nodiscard]] entry_vm entry() const
    {
        const auto address = fmt::format("127.0.0.1:{}", server_->port());
        return {.id = id_,
                .caller_address = address,
                .operator_address = address,
                .operator_key = "key"};
    }

    std::atomic<bool> refuses = false;
    std::atomic<int> requests = 0;
    std::atomic<std::uint64_t> rules_version = 1;

private:
    net::http_response answer(const net::http_request& request)
    {
        if (request.path == "/readyz") {
            return {.body = "{}"};
        }
        if (request.path == "/v1/status") {
            return {.body = json{{"rules_version", rules_version.load()}}.dump()};
        }
        if (request.path == "/v1/rules") {
            rules_version += request.method == "POST" ? 1 : 0;
            return {.body = json{{"version", rules_version.load()}, {"text", "x"}}.dump()};
        }
        if (request.path == "/v1/jobs") {
            return {.status = 202, .body = R"({"job":"j1","state":"queued"})"};
        }
        if (request.path == "/v1/jobs/j1") {
            return {.body = R"({"job":"j1","state":"completed"})"};
        }
        ++requests;
        if (refuses) {
            return {.status = 503, .body = R"({"outcome":"not_run","code":3013})"};
        }
        const auto echo = json::parse(request.body).at("marker");
        return {.body = json{{"outcome", "completed"}, {"body", {{"echo", echo}}}}.dump()};
    }

    std::string id_;
    std::unique_ptr<net::http_server> server_;
};

std::vector<planned_call> requests(int count)
{
    std::vector<planned_call> plan;
    for (int number = 0; number < count; ++number) {
        const auto marker = fmt::format("m{}", number);
        plan.push_back(
            {base::milliseconds{number}, request_call{.work_class = "preview",
                                                      .workspace = "w",
                                                      .marker = marker,
                                                      .body = json{{"marker", marker}}.dump(),
                                                      .deadline = base::milliseconds{1'000}}});
    }
    return plan;
}

const drive_options short_run{.length = base::milliseconds{300},
                              .settle = base::milliseconds{2'000}};

void ignore_progress(const drive_progress& /*now*/) {}

TEST(drive, notes_every_answer_with_its_marker)
{
    const fake_vm vm{"vm-1"};
    const deployment target{.vms = {vm.entry()}};
    const auto plan = requests(50);

    const auto seen = drive(target, plan, short_run, ignore_progress).value();

    EXPECT_EQ(vm.requests, 50);
    ASSERT_EQ(seen.requests.size(), 50);
    EXPECT_TRUE(std::ranges::all_of(seen.requests, [](const auto& note) {
        return note.told == checker::answer::completed && note.answered_marker == note.marker;
    }));
    EXPECT_TRUE(checker::check(seen, {}).empty());
}

TEST(drive, fails_over_from_a_vm_that_says_not_run)
{
    fake_vm refusing{"vm-1"};
    refusing.refuses = true;
    const fake_vm serving{"vm-2"};
    const deployment target{.vms = {refusing.entry(), serving.entry()}};
    const auto plan = requests(20);

    const auto seen = drive(target, plan, short_run, ignore_progress).value();

    const auto last_words =
        std::ranges::count(seen.requests, false, &checker::request_note::superseded);
    EXPECT_EQ(last_words, 20) << "one last word for each request";
    EXPECT_EQ(serving.requests, 20);
    EXPECT_GT(refusing.requests, 0) << "else the failover was not tried";
}

TEST(drive, goes_on_when_a_vm_refuses_connections)
{
    auto gone = std::make_unique<fake_vm>("vm-1");
    const fake_vm serving{"vm-2"};
    const deployment target{.vms = {gone->entry(), serving.entry()}};
    gone.reset();
    const auto plan = requests(20);

    const auto seen = drive(target, plan, short_run, ignore_progress).value();

    EXPECT_EQ(serving.requests, 20);
    EXPECT_TRUE(checker::check(seen, {}).empty());
}

TEST(drive, submits_a_job_and_waits_for_its_end)
{
    const fake_vm vm{"vm-1"};
    const deployment target{.vms = {vm.entry()}};
    const std::vector<planned_call> plan{
        {base::microseconds{0}, job_call{.work_class = "c", .key = "k", .body = "{}"}}};

    const auto seen = drive(target, plan, short_run, ignore_progress).value();

    ASSERT_EQ(seen.jobs.size(), 1);
    EXPECT_EQ(seen.jobs[0].job, "j1");
    EXPECT_EQ(seen.jobs[0].state, "completed");
}

TEST(drive, applies_the_extra_rule_once_and_samples_its_version)
{
    const fake_vm vm{"vm-1"};
    const deployment target{.vms = {vm.entry()}};
    auto options = short_run;
    options.length = base::milliseconds{900};
    options.observer = {.interval = base::milliseconds{50},
                        .rule = "avoid worker w # asked by: me"};

    const auto seen = drive(target, {}, options, ignore_progress).value();

    EXPECT_EQ(seen.change.version, 2);
    EXPECT_GE(checker::time_until_in_force(seen), 0);
}

TEST(report_of, states_figures_and_names_what_was_broken)
{
    checker::history seen;
    seen.requests = {{.request = "r1",
                      .marker = "a",
                      .service = "preview",
                      .vm = "vm-1",
                      .told = checker::answer::completed,
                      .answered_marker = "b"}};
    const auto found = checker::check(seen, {});

    const auto report = report_of(seen, {}, found);

    const auto summary = json::parse(report.summary_json);
    EXPECT_EQ(summary.at("requests"), 1);
    EXPECT_EQ(summary.at("foreign_answers"), 1);
    EXPECT_EQ(summary.at("rule_in_force_ms"), -1);
    EXPECT_NE(report.readable.find("BROKEN own_answer r1"), std::string::npos) << report.readable;
}

} // namespace
} // namespace poplarstile::bench::load_driver
