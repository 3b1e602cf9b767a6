#include "integration/harness/access.hpp"
#include "soak/soak_site.hpp"
#include "support/persistent_callers.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <thread>

/// A VM of a site that gets SIGTERM answers what it was asked before it ends.
namespace poplarstile::soak
{
namespace
{

/// Sends a submission that is refused as malformed, on a kept connection; false without an answer.
bool send_malformed_job(net::http_client& client, std::uint16_t port, int caller, int number)
{
    net::http_call call;
    call.method = "POST";
    call.url = fmt::format("http://{}{}{:08x}{:08x}", integration::endpoint(port), urgent_prefix,
                           caller, number);
    call.headers = {{"Host", caller_host}, {"Key", caller_key}};
    call.body = "{}";
    call.once = true;
    return client.send_and_wait(std::move(call)).outcome != net::delivery::lost;
}

TEST(site_termination, RequestsOnOpenConnectionsAreAnsweredUntilTheProcessIsGone)
{
    constexpr int rounds = 3;
    const auto folder = fmt::format("{}/soak/site_termination", POPLARSTILE_BINARY_DIR);
    std::filesystem::create_directories(folder);
    const auto started = soak_site::start({.vms = 3, .workers = 2}, folder);
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& site = *started.value();
    const auto client = net::http_client::start({}).value();
    for (int round = 0; round < rounds; ++round) {
        const auto& vm = site.vms().at(static_cast<std::size_t>(round));
        const auto send = [&](int caller, int number) {
            return send_malformed_job(*client, site.caller_port(vm), caller, number);
        };
        tests::persistent_callers callers{24, send};
        std::this_thread::sleep_for(base::milliseconds{200});
        EXPECT_TRUE(site.terminate_vm(vm)) << vm;

        EXPECT_EQ(callers.stop(), 0) << "requests without an answer at " << vm;
        site.ensure_vm(vm);
        ASSERT_TRUE(site.await_ready(base::milliseconds{10'000}));
    }
}

} // namespace
} // namespace poplarstile::soak
