#include "cluster/cluster_codec.hpp"
#include "net/http_client.hpp"
#include "soak/soak_site.hpp"
#include "standins/site_standin/job_script.hpp"
#include "support/client_crowd.hpp"
#include "support/insistent_crowd.hpp"
#include "support/process_usage.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
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
constexpr std::size_t body_limit = 256 * kib;
/// Connections of callers in the settings, and a crowd that wants more.
constexpr std::size_t caller_connections = 32;
constexpr std::size_t crowd = 64;
/// Connections of each monitoring port, which follow from the descriptors.
constexpr std::size_t monitoring_connections = 8;
constexpr std::size_t tiny_chunks = 200'000;
constexpr std::size_t peer_body = 3 * mib;
/// A message of empty texts within 3 MiB, as long as one list may be.
constexpr std::size_t texts_of_list = 50'000;
constexpr std::size_t lists_of_message = 60;
constexpr std::size_t message_crowd = 8;
constexpr std::size_t pipelined_calls = 1'000;
/// Each is refused with an answer of its own length.
constexpr std::size_t pipelined_texts = 8;
constexpr std::size_t unended_text = 64 * kib;
constexpr base::milliseconds crowd_time{10'000};
/// For a crowd to be read and to take what it can get.
constexpr base::milliseconds settle_time{5'000};
/// As often as callers and the balancer ask again.
constexpr int attempts = 8;

constexpr std::string_view ordinary_job = "0000000100000001";
constexpr std::string_view unended_job = "0000000100000003";

/// `fields` are further header fields, each with its end of line.
std::string head_of(std::string_view method, std::string_view path, std::string_view fields)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nKey: {}\r\n"
                       "Content-Type: application/json\r\n{}\r\n",
                       method, path, caller_host, caller_key, fields);
}

std::string submission_path()
{
    return fmt::format("{}{}", batch_prefix, unended_job);
}

std::string post_with_length(std::string_view path, std::size_t length)
{
    return head_of("POST", path, fmt::format("Content-Length: {}\r\n", length));
}

std::string whole_post(std::string_view path, std::string_view body)
{
    return post_with_length(path, body.size()).append(body);
}

/// A chunked request without the chunk that ends it.
std::string unended_tiny_chunks()
{
    auto text = head_of("POST", submission_path(), "Transfer-Encoding: chunked\r\n");
    for (std::size_t chunk = 0; chunk < tiny_chunks; ++chunk) {
        text += "1\r\nb\r\n";
    }
    return text;
}

/// Joins what `element` makes of 0, 1, 2 and so on until the body is as long as it may be.
template <class Element>
std::string filled_body(std::string_view begin, Element element, std::string_view end)
{
    std::string body{begin};
    for (std::size_t index = 0;; ++index) {
        const std::string next = element(index);
        if (body.size() + next.size() + end.size() > body_limit) {
            break;
        }
        body += next;
    }
    body.pop_back();
    return body.append(end);
}

std::string empty_steps()
{
    return filled_body(R"({"spec":"x","steps":[)", [](std::size_t /*index*/) { return "{},"; },
                       "]}");
}

std::string many_members()
{
    return filled_body(R"({"spec":"x","steps":[],"more":{)",
                       [](std::size_t index) { return fmt::format(R"("{:x}":{{}},)", index); },
                       "}}");
}

std::string pipelined(std::string_view method, std::string_view path)
{
    std::string text;
    for (std::size_t call = 0; call < pipelined_calls; ++call) {
        text += head_of(method, path, "");
    }
    return text;
}

/// Submissions whose body is one text that does not end.
std::string pipelined_unended_texts()
{
    std::string text;
    for (std::size_t call = 0; call < pipelined_texts; ++call) {
        text += whole_post(submission_path(), '"' + std::string(unended_text, 'x'));
    }
    return text;
}

/// A heartbeat without a sender that takes far more memory than it has bytes.
std::string message_of_many_texts()
{
    cluster::leader_heartbeat heartbeat;
    cluster::queue_load load;
    load.shortage.emplace().at_fair_share.resize(texts_of_list);
    heartbeat.loads.assign(lists_of_message, load);
    auto bytes = cluster::encode(heartbeat);
    return bytes.has_value() ? std::move(bytes).value() : std::string{};
}

/// A job of one short task.
std::string job_body(std::string_view job)
{
    constexpr std::int64_t work_ms = 50;
    standins::site_standin::job_script script;
    script.job = job;
    script.steps.push_back({.work = base::milliseconds{work_ms}, .need = {500, 256, 0}});
    const json step{{"count", 1}, {"cpu", 500}, {"mem_mb", 256}, {"estimate_ms", work_ms}};
    return json{{"spec", to_payload(script)}, {"steps", {step}}}.dump();
}

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
        return is_done_in_time([&] {
            const auto reply =
                site->call(vm, "POST", fmt::format("{}{}", batch_prefix, ordinary_job),
                           job_body(ordinary_job));
            return reply.status == 200;
        });
    }

    bool answers_the_balancer(const std::string& vm)
    {
        return is_done_in_time([&] { return site->is_ready(vm); });
    }

    bool answers_with_metrics(const std::string& vm)
    {
        const auto client = net::http_client::start({}).value();
        const auto url = fmt::format("http://127.0.0.1:{}/metrics", site->metrics_port(vm));
        return is_done_in_time([&] { return client->send_and_wait({.url = url}).ok(); });
    }

    template <class Attempt>
    static bool is_done_in_time(Attempt attempt)
    {
        for (int count = 0; count < attempts; ++count) {
            if (attempt()) {
                return true;
            }
        }
        return false;
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
