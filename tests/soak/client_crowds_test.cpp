#include "net/http_client.hpp"
#include "soak/crowd_requests.hpp"
#include "soak/soak_site.hpp"
#include "support/attempts.hpp"
#include "support/client_crowd.hpp"
#include "support/insistent_crowd.hpp"
#include "support/process_usage.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Clients outside the limits that keep a port busy or its connections taken, on all ports of a VM:
/// it lives, stays within its memory and descriptors, and answers an ordinary request.
namespace poplarstile::soak
{
namespace
{

using nlohmann::json;

/// The least that a VM has.
constexpr std::uint64_t memory_mb = 120;
constexpr std::uint64_t kib_of_mb = 1'024;
constexpr std::size_t descriptors = 512;
constexpr std::size_t kib = 1'024;
constexpr std::size_t mib = kib * kib;
/// Connections of callers in the settings, and a crowd that wants more.
constexpr std::size_t caller_connections = 32;
constexpr std::size_t crowd = 64;
/// Connections of each monitoring port, which follow from the descriptors.
constexpr std::size_t monitoring_connections = 8;
constexpr std::size_t peer_body = 3 * mib;
constexpr std::size_t message_crowd = 8;
constexpr base::milliseconds crowd_time{10'000};
/// For a crowd to be read and to take what it can get.
constexpr base::milliseconds settle_time{5'000};
/// As often as callers and the balancer ask again.
constexpr int attempts = 8;

constexpr std::string_view ordinary_job = "0000000100000001";

class site_client_crowds : public testing::Test
{
protected:
    /// Limits of each VM's settings; the memory only if it is to be known.
    void start_site(std::size_t vms, bool memory_known = true)
    {
        const auto folder = fmt::format("{}/soak/client_crowds", POPLARSTILE_BINARY_DIR);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        json limits{{"descriptors", descriptors}, {"caller_connections", caller_connections}};
        if (memory_known) {
            limits["memory_mb"] = memory_mb;
        }
        auto started = soak_site::start(
            {.vms = vms, .workers = 1, .vm_settings = {{"limits", std::move(limits)}}}, folder);
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        site = std::move(started).value();
    }

    /// Sends as much as the VM takes.
    void send_once(std::uint16_t port, std::size_t clients, std::string text)
    {
        auto& sent = crowds.emplace_back(std::make_unique<tests::client_crowd>(port));
        sent->add(clients, std::move(text));
        sent->run_for(crowd_time);
    }

    /// Until the VM has read what was sent, and crowds that go on have taken what they can get.
    static void let_crowds_settle()
    {
        std::this_thread::sleep_for(settle_time);
    }

    /// The crowds are still there.
    void expect_bounds_and_service()
    {
        for (const auto& vm : site->vms()) {
            const auto process = site->process_id(vm);
            ASSERT_GT(process, 0);
            EXPECT_TRUE(answers_a_job(vm)) << vm;
            EXPECT_TRUE(answers_the_balancer(vm)) << vm;
            EXPECT_TRUE(answers_with_metrics(vm)) << vm;
            EXPECT_LE(tests::open_descriptors(process), descriptors) << vm;
            EXPECT_LE(tests::status_kib(process, "VmHWM:"), memory_mb * kib_of_mb) << vm;
            RecordProperty("peak_kib", fmt::format("{}", tests::status_kib(process, "VmHWM:")));
        }
        EXPECT_TRUE(site->take_crashed().empty());
    }

    bool answers_a_job(const std::string& vm)
    {
        return tests::succeeds_within(attempts, [&] {
            const auto reply =
                site->call(vm, "POST", fmt::format("{}{}", batch_prefix, ordinary_job),
                           short_job(ordinary_job));
            return reply.status == 200;
        });
    }

    bool answers_the_balancer(const std::string& vm)
    {
        return tests::succeeds_within(attempts, [&] { return site->is_ready(vm); });
    }

    bool answers_with_metrics(const std::string& vm)
    {
        const auto client = net::http_client::start({}).value();
        const auto url = fmt::format("http://127.0.0.1:{}/metrics", site->metrics_port(vm));
        return tests::succeeds_within(attempts,
                                      [&] { return client->send_and_wait({.url = url}).ok(); });
    }

    static constexpr const char* first_vm = "vm1";
    std::unique_ptr<soak_site> site;
    std::vector<std::unique_ptr<tests::client_crowd>> crowds;
};

// Guards against time for a body that grows with the square of its elements.
TEST_F(site_client_crowds, ManyEmptySteps)
{
    start_site(1);
    send_once(site->caller_port(first_vm), crowd, whole_post(submission_path(), empty_steps()));
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against the same for members of an object.
TEST_F(site_client_crowds, ManyMembers)
{
    start_site(1);
    send_once(site->caller_port(first_vm), crowd, whole_post(submission_path(), many_members()));
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against callers who keep all connections because they read none of their answers.
TEST_F(site_client_crowds, CallersThatReadNoAnswers)
{
    start_site(1);
    const tests::insistent_crowd unread{site->caller_port(first_vm), crowd,
                                        pipelined("GET", submission_path())};
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against a balancer that finds no connection and takes the VM out of rotation.
TEST_F(site_client_crowds, MonitoringThatReadsNoAnswers)
{
    start_site(1);
    const tests::insistent_crowd unread{site->readiness_port(first_vm), monitoring_connections,
                                        pipelined("GET", "/-/readiness")};
    const tests::insistent_crowd unread_metrics{
        site->metrics_port(first_vm), monitoring_connections, pipelined("GET", "/metrics")};
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against messages to the other VMs that take many times their length.
TEST_F(site_client_crowds, MessagesOfManyTexts)
{
    start_site(1);
    const auto message = message_of_many_texts();
    ASSERT_FALSE(message.empty());
    send_once(site->peer_port(first_vm), message_crowd, whole_post("/peer", message));
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against bounds that only hold where the settings tell the memory.
TEST_F(site_client_crowds, UnendedBodiesWhereTheMemoryIsNotKnown)
{
    start_site(1, false);
    send_once(site->caller_port(first_vm), crowd, unended_tiny_chunks());
    send_once(site->peer_port(first_vm), crowd,
              fmt::format("{}Content-Length: {}\r\n\r\n{}", head_of("POST", "/peer", ""), peer_body,
                          std::string(peer_body - 1, 'b')));
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against VMs that serve beside a crowd alone, but not when all of them have one.
TEST_F(site_client_crowds, AllShapesOnAllVmsAtOnce)
{
    constexpr std::size_t vms = 3;
    start_site(vms);
    std::vector<std::unique_ptr<tests::insistent_crowd>> unread;
    for (const auto& each : site->vms()) {
        unread.push_back(std::make_unique<tests::insistent_crowd>(
            site->caller_port(each), crowd, pipelined("GET", submission_path())));
        unread.push_back(std::make_unique<tests::insistent_crowd>(site->caller_port(each), crowd,
                                                                  pipelined_unended_texts()));
        unread.push_back(std::make_unique<tests::insistent_crowd>(
            site->caller_port(each), crowd, whole_post(submission_path(), empty_steps())));
        unread.push_back(std::make_unique<tests::insistent_crowd>(site->caller_port(each), crowd,
                                                                  unended_tiny_chunks()));
        unread.push_back(std::make_unique<tests::insistent_crowd>(
            site->peer_port(each), message_crowd, whole_post("/peer", message_of_many_texts())));
    }
    let_crowds_settle();

    expect_bounds_and_service();
}

} // namespace
} // namespace poplarstile::soak
