#include "integration/harness/cluster.hpp"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace poplarstile::integration
{
namespace
{

using base::error_code;
using nlohmann::json;

class requests_bad_input : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        auto started = cluster::start(
            {.vms_per_domain = 1,
             .rules = request_rules(),
             .settings = {
                 {"limits", {{"max_connections_per_caller", 16}, {"max_body_bytes", 4'096}}}}});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system = std::move(started).value();
    }
    static void TearDownTestSuite()
    {
        system.reset();
    }

    struct refusal {
        std::uint16_t status = 0;
        unsigned code = 0;
        std::string outcome{};
    };

    static refusal send(const std::string& path, std::vector<net::http_header> headers,
                        std::string body, const std::string& method = "POST")
    {
        const auto reply =
            system->caller_call(system->vms().front(), {.method = method,
                                                        .url = path,
                                                        .headers = std::move(headers),
                                                        .body = std::move(body)});
        const auto read = json::parse(reply.body, nullptr, false);
        if (!read.is_object()) {
            return {reply.status, 0, reply.body};
        }
        return {reply.status, read.value("code", 0U), read.value("outcome", "")};
    }

    static void expect(const refusal& got, std::uint16_t status, error_code code)
    {
        EXPECT_EQ(got.status, status);
        EXPECT_EQ(got.code, static_cast<unsigned>(code));
        EXPECT_EQ(got.outcome, "rejected");
    }

    static inline std::unique_ptr<cluster> system;
    const net::http_header kits_{"X-Workspace", "kits"};
    const std::string chart_ = "/v1/requests/chart";
    const std::string sheet_ = "/v1/requests/sheet";
};

TEST_F(requests_bad_input, EachFaultyRequestGetsItsNumberedError)
{
    const std::string deep(100, '[');
    expect(send(chart_, {kits_}, "{\"a\":"), 400, error_code::request_malformed);
    expect(send(chart_, {kits_}, deep), 400, error_code::request_too_deep);
    expect(send(chart_, {}, "{}"), 400, error_code::request_malformed);
    expect(send(chart_, {kits_, {"X-Deadline-Ms", "soon"}}, "{}"), 400,
           error_code::request_malformed);
    expect(send("/v1/requests/none", {kits_}, "{}"), 404, error_code::request_unknown_service);
    expect(send(chart_, {{"X-Workspace", "none"}}, "{}"), 404,
           error_code::request_unknown_workspace);
    expect(send("/v2/requests/chart", {kits_}, "{}"), 404, error_code::request_unknown_path);
    expect(send(sheet_, {kits_}, "{}"), 400, error_code::request_key_missing);
    expect(send(sheet_, {kits_, {"Idempotency-Key", "a"}, {"Idempotency-Key", "b"}}, "{}"), 400,
           error_code::request_key_repeated);
    expect(send(sheet_, {kits_, {"Idempotency-Key", std::string(200, 'k')}}, "{}"), 400,
           error_code::request_malformed);
}

TEST_F(requests_bad_input, TheSameKeyWithAnotherBodyIsRefused)
{
    const net::http_header key{"Idempotency-Key", "same"};
    EXPECT_EQ(send(sheet_, {kits_, key}, R"({"marker":"one"})").outcome, "completed");

    expect(send(sheet_, {kits_, key}, R"({"marker":"two"})"), 409, error_code::request_key_reused);
    EXPECT_EQ(system->executions_of("two"), 0U);
}

TEST_F(requests_bad_input, OversizedRequestsAreCutOffAndTheVmGoesOn)
{
    const auto body = send(chart_, {kits_}, "\"" + std::string(100'000, 'b') + "\"");
    EXPECT_NE(body.status, 200);
    const auto header = send(chart_, {kits_, {"X-Long", std::string(50'000, 'h')}}, "{}");
    EXPECT_NE(header.status, 200);

    EXPECT_EQ(send(chart_, {kits_}, "{}").outcome, "completed");
}

} // namespace
} // namespace poplarstile::integration
