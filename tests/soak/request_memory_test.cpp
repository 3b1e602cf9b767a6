#include "soak/crowd_requests.hpp"
#include "soak/soak_site.hpp"
#include "support/client_crowd.hpp"
#include "support/process_usage.hpp"

#include <asio/connect.hpp>
#include <asio/read_until.hpp>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>

/// Clients outside the limits: the VM lives, stays within its memory and descriptors, and answers
/// an ordinary request afterwards.
namespace poplarstile::soak
{
namespace
{

using tests::open_descriptors;
using tests::status_kib;

/// The least that a VM has.
constexpr std::uint64_t memory_mb = 120;
constexpr std::uint64_t kib_of_mb = 1'024;
constexpr std::size_t descriptors = 256;
constexpr std::size_t kib = 1'024;
constexpr std::size_t mib = kib * kib;
constexpr std::size_t body_limit = 256 * kib;
constexpr std::size_t crowd = 64;
/// More than the descriptors of the settings, so that the bound is what keeps them out.
constexpr std::size_t descriptor_crowd = 320;
constexpr std::size_t large_chunk = 64 * kib;
/// Below the 4 MiB that RESTinio was told as the limit, so that nothing is refused for its length.
constexpr std::size_t large_body = 4 * mib - large_chunk;
constexpr std::size_t tiny_chunks = 200'000;
constexpr std::size_t endless_body = 12 * mib;
constexpr base::milliseconds crowd_time{20'000};
constexpr base::milliseconds sample_interval{50};
constexpr int steady_samples = 10;
constexpr int most_samples = 100;
constexpr int submissions = 4;

constexpr std::string_view ordinary_job = "0000000100000001";
constexpr std::string_view whole_job = "0000000100000002";
constexpr std::string_view unended_job = "0000000100000003";

std::string head_of(std::string_view job, std::string_view framing)
{
    return fmt::format("POST {}{} HTTP/1.1\r\nHost: {}\r\nKey: {}\r\n"
                       "Content-Type: application/json\r\n{}\r\n\r\n",
                       batch_prefix, job, caller_host, caller_key, framing);
}

/// A chunked request without the chunk that ends it.
std::string unended_chunks(std::string_view job, std::string_view body, std::size_t chunk)
{
    auto text = head_of(job, "Transfer-Encoding: chunked");
    for (std::size_t begin = 0; begin < body.size(); begin += chunk) {
        const auto part = body.substr(begin, chunk);
        fmt::format_to(std::back_inserter(text), "{:x}\r\n{}\r\n", part.size(), part);
    }
    return text;
}

/// A request that announces `announced` bytes and sends all but the last one of `sent`.
std::string announced_body(std::string_view job, std::size_t announced, std::size_t sent)
{
    return head_of(job, fmt::format("Content-Length: {}", announced)) + std::string(sent - 1, 'b');
}

class request_memory : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto folder = fmt::format("{}/soak/request_memory", POPLARSTILE_BINARY_DIR);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        auto started = soak_site::start(
            {.vms = 1,
             .workers = 1,
             .vm_settings = {{"limits", {{"memory_mb", memory_mb}, {"descriptors", descriptors}}}}},
            folder);
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        site = std::move(started).value();
        clients = std::make_unique<tests::client_crowd>(site->caller_port(vm));
    }

    /// Lets the crowd send and the VM read what the system holds for it, which shows in its memory.
    void play_crowd()
    {
        clients->run_for(crowd_time);
        const auto process = site->process_id(vm);
        std::uint64_t before = 0;
        for (int steady = 0, sample = 0; steady < steady_samples && sample < most_samples;
             ++sample) {
            const auto now = status_kib(process, "VmRSS:");
            steady = now == before ? steady + 1 : 0;
            before = now;
            std::this_thread::sleep_for(sample_interval);
        }
    }

    /// The crowd is still connected.
    void expect_bounds_and_service()
    {
        EXPECT_TRUE(site->take_crashed().empty());
        const auto process = site->process_id(vm);
        ASSERT_GT(process, 0);
        EXPECT_LE(status_kib(process, "VmHWM:"), memory_mb * kib_of_mb);
        EXPECT_LE(open_descriptors(process), descriptors);
        EXPECT_TRUE(is_job_accepted());
        EXPECT_LE(status_kib(process, "VmHWM:"), memory_mb * kib_of_mb);
        RecordProperty("peak_kib", fmt::format("{}", status_kib(process, "VmHWM:")));
        RecordProperty("descriptors", fmt::format("{}", open_descriptors(process)));
    }

    /// Sent again as often as callers do.
    bool is_job_accepted()
    {
        for (int attempt = 0; attempt < submissions; ++attempt) {
            const auto reply =
                site->call(vm, "POST", fmt::format("{}{}", batch_prefix, ordinary_job),
                           short_job(ordinary_job));
            if (reply.status == 200 || reply.status == 201 || reply.status == 202) {
                return true;
            }
        }
        return false;
    }

    /// Status line of the answer to this text; empty without one.
    std::string answer_to(const std::string& text) const
    {
        asio::io_context context;
        asio::ip::tcp::socket socket{context};
        socket.connect({asio::ip::address_v4::loopback(), site->caller_port(vm)});
        std::error_code failure;
        asio::write(socket, asio::buffer(text), failure);
        std::string answer;
        asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n", failure);
        return answer.substr(0, answer.find('\r'));
    }

    static constexpr const char* vm = "vm1";
    std::unique_ptr<soak_site> site;
    std::unique_ptr<tests::client_crowd> clients;
};

// Guards against the sum of unfinished bodies growing with the number of connections.
TEST_F(request_memory, StaysWithinItsBoundsUnderUnendedBodiesInLargeChunks)
{
    clients->add(crowd, unended_chunks(unended_job, std::string(large_body, 'b'), large_chunk));
    play_crowd();

    expect_bounds_and_service();
}

// Guards against the cost of each chunk, which is many times its data when that is one byte.
TEST_F(request_memory, StaysWithinItsBoundsUnderUnendedBodiesInChunksOfOneByte)
{
    clients->add(crowd, unended_chunks(unended_job, std::string(tiny_chunks, 'b'), 1));
    play_crowd();

    expect_bounds_and_service();
}

// Guards against bodies that are kept although their announced length is over the limit.
TEST_F(request_memory, StaysWithinItsBoundsUnderAnnouncedBodiesOverTheLimit)
{
    clients->add(crowd, announced_body(unended_job, large_body, large_body));
    clients->add(crowd, announced_body(unended_job, std::size_t{1} << 30U, large_body));
    play_crowd();

    expect_bounds_and_service();
}

// Guards against bodies that grow beyond the limit without having announced it.
TEST_F(request_memory, StaysWithinItsBoundsUnderUnannouncedBodiesOverTheLimit)
{
    clients->add(crowd, unended_chunks(unended_job, std::string(endless_body, 'b'), large_chunk));
    play_crowd();

    expect_bounds_and_service();
}

// Guards against connections that take the descriptors which the VM needs for its own.
TEST_F(request_memory, LeavesDescriptorsForItsOwnConnections)
{
    clients->add(descriptor_crowd, head_of(unended_job, "Content-Length: 100"));
    play_crowd();

    expect_bounds_and_service();
}

// Guards against an announced length over the limit that is read to its end, or is cut off so that
// the caller can't tell why.
TEST_F(request_memory, AnswersAnAnnouncedLengthOverTheLimitBeforeItsBody)
{
    const auto framing = fmt::format("Content-Length: {}", body_limit + 1);

    EXPECT_TRUE(answer_to(head_of(unended_job, framing)).starts_with("HTTP/1.1 413"));
    EXPECT_TRUE(is_job_accepted());
}

// Guards against bounds that refuse a caller within the limits.
TEST_F(request_memory, ServesARequestOfTheLargestBodyInChunksOfOneByte)
{
    auto body = short_job(whole_job);
    body.append(body_limit - body.size(), ' ');

    const auto answer = answer_to(unended_chunks(whole_job, body, 1) + "0\r\n\r\n");

    EXPECT_TRUE(answer.starts_with("HTTP/1.1 20")) << answer;
    EXPECT_TRUE(is_job_accepted());
}

} // namespace
} // namespace poplarstile::soak
