#include "integration/observations.hpp"
#include "support/attempts.hpp"
#include "support/client_crowd.hpp"
#include "support/insistent_crowd.hpp"
#include "support/process_usage.hpp"
#include "support/raw_call.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Clients outside the limits on the ports of a VM without a row store: it lives, stays within its
/// memory and descriptors, and answers an ordinary request.
namespace poplarstile::integration
{
namespace
{

/// What an entry VM of the users' sites has.
constexpr std::uint64_t memory_mb = 260;
constexpr std::uint64_t kib_of_mb = 1'024;
constexpr std::size_t descriptors = 512;
constexpr std::size_t kib = 1'024;
constexpr std::size_t mib = kib * kib;
constexpr std::size_t body_limit = 256 * kib;
/// Connections of callers in the settings, and a crowd that wants more.
constexpr std::size_t caller_connections = 32;
constexpr std::size_t crowd = 64;
constexpr std::size_t dense_jobs = 32;
constexpr std::size_t tiny_chunks = 200'000;
constexpr std::size_t long_body = mib;
constexpr std::size_t pipelined_calls = 1'000;
constexpr base::milliseconds crowd_time{10'000};
/// For a crowd to be read and to take what it can get.
constexpr base::milliseconds settle_time{5'000};
constexpr base::milliseconds call_time{4'000};
/// As often as callers and operators ask again.
constexpr int attempts = 8;

/// `fields` are further header fields, each with its end of line.
std::string head_of(std::string_view method, std::string_view path, std::string_view fields)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: localhost\r\nX-Workspace: kits\r\n{}\r\n", method,
                       path, fields);
}

/// A chunked request without the chunk that ends it.
std::string unended_tiny_chunks(std::string_view path)
{
    auto text = head_of("POST", path, "Transfer-Encoding: chunked\r\n");
    for (std::size_t chunk = 0; chunk < tiny_chunks; ++chunk) {
        text += "1\r\nb\r\n";
    }
    return text;
}

std::string unended_body(std::string_view path)
{
    return head_of("POST", path, fmt::format("Content-Length: {}\r\n", long_body)) +
           std::string(long_body - 1, 'b');
}

/// A whole submission, as long as it may be, whose payload is made of empty objects.
std::string dense_job(std::size_t number)
{
    constexpr std::string_view end = "{}]}}";
    std::string body =
        R"({"class":"chart","shape":"1x1","declared_run_ms":50,"payload":{"run_ms":50,"more":[)";
    while (body.size() + 3 + end.size() <= body_limit) {
        body += "{},";
    }
    body += end;
    return head_of("POST", "/v1/jobs",
                   fmt::format("Idempotency-Key: dense-{}\r\nContent-Length: {}\r\n", number,
                               body.size())) +
           body;
}

std::string pipelined(std::string_view path)
{
    std::string text;
    for (std::size_t call = 0; call < pipelined_calls; ++call) {
        text += head_of("GET", path, "");
    }
    return text;
}

class client_crowds : public testing::Test
{
protected:
    void SetUp() override
    {
        auto started =
            cluster::start({.vms_per_domain = 1,
                            .rules = request_rules(),
                            .settings = {{"limits",
                                          {{"max_caller_connections", caller_connections},
                                           {"max_connections_per_caller", caller_connections}}}}});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system = std::move(started).value();
    }

    const std::string& vm() const
    {
        return system->vms().front();
    }

    /// Until the VM has read what was sent, and crowds that go on have taken what they can get.
    static void let_crowds_settle()
    {
        std::this_thread::sleep_for(settle_time);
    }

    /// The crowds are still there.
    void expect_bounds_and_service()
    {
        EXPECT_TRUE(tests::succeeds_within(attempts, [&] { return answers_a_caller(); }));
        EXPECT_TRUE(tests::succeeds_within(attempts, [&] {
            return system->operator_call(vm(), {.url = "/v1/status"}).status == 200;
        }));
        ASSERT_TRUE(system->vm(vm()).running());
        const auto process = system->vm(vm()).id();
        EXPECT_LE(tests::open_descriptors(process), descriptors);
        EXPECT_LE(tests::status_kib(process, "VmHWM:"), memory_mb * kib_of_mb);
        RecordProperty("peak_kib", fmt::format("{}", tests::status_kib(process, "VmHWM:")));
    }

    /// A caller whose IP number is not that of the crowd, of which the VM takes so many only.
    bool answers_a_caller()
    {
        constexpr std::string_view body = R"({"service_ms":5,"marker":"ordinary"})";
        const auto text = head_of("POST", "/v1/requests/chart",
                                  fmt::format("Content-Length: {}\r\n", body.size()))
                              .append(body);
        const auto line = tests::first_line_of_answer(asio::ip::make_address_v4("127.0.0.2"),
                                                      system->caller_port(vm()), text, call_time);
        return line.starts_with("HTTP/1.1 200");
    }

    std::unique_ptr<cluster> system;
};

// Guards against bounds of three ports that are together more than a VM has.
TEST_F(client_crowds, UnendedBodiesOnAllPorts)
{
    tests::client_crowd callers{system->caller_port(vm())};
    tests::client_crowd operators{system->operator_port(vm())};
    tests::client_crowd peers{system->peer_port(vm())};
    callers.add(crowd, unended_tiny_chunks("/v1/requests/chart"));
    operators.add(crowd, unended_body("/v1/rules"));
    peers.add(crowd, unended_body("/peer"));
    callers.run_for(crowd_time);
    operators.run_for(crowd_time);
    peers.run_for(crowd_time);
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against jobs within the limit of a body that take many times its length.
TEST_F(client_crowds, JobsOfManySmallValues)
{
    tests::client_crowd callers{system->caller_port(vm())};
    for (std::size_t number = 0; number < dense_jobs; ++number) {
        callers.add(1, dense_job(number));
    }
    callers.run_for(crowd_time);
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against callers who keep all connections because they read none of their answers.
TEST_F(client_crowds, CallersThatReadNoAnswers)
{
    const tests::insistent_crowd unread{system->caller_port(vm()), crowd,
                                        pipelined("/v1/jobs/unknown")};
    let_crowds_settle();

    expect_bounds_and_service();
}

// Guards against the same on the operators' port, whose answers are long.
TEST_F(client_crowds, OperatorsThatReadNoAnswers)
{
    const tests::insistent_crowd unread{system->operator_port(vm()), crowd, pipelined("/metrics")};
    let_crowds_settle();

    expect_bounds_and_service();
}

} // namespace
} // namespace poplarstile::integration
