#include "standins/platform_standin/platform_service.hpp"

#include <gtest/gtest.h>

#include <optional>

namespace poplarstile::standins::platform_standin
{
namespace
{

/// Hands a request to the service; nothing when it got no answer at once.
std::optional<net::http_response> call(platform_service& service, const net::http_request& request)
{
    std::optional<net::http_response> answer;
    service.handle(request, net::http_responder{[&answer](net::http_response response) {
                       answer = std::move(response);
                   }});
    return answer;
}

std::optional<net::http_response> post(platform_service& service, std::string path,
                                       const json& body)
{
    return call(service, {.method = "POST", .path = std::move(path), .body = body.dump()});
}

json read_row(platform_service& service, std::string_view key)
{
    const auto answer = call(
        service,
        {.method = "GET", .path = "/table/row", .query = "key=" + std::string{key}, .body = ""});
    return json::parse(answer->body);
}

const json write_of_a{{"operation", "op-1"},
                      {"conditions", {{{"key", "a"}, {"version", 0}}}},
                      {"writes", {{{"key", "a"}, {"value", {{"operation", "op-1"}}}}}}};

TEST(platform_service, lost_answer_takes_effect_once_and_a_read_settles_it)
{
    platform_service service{{}};
    ASSERT_TRUE(post(service, "/control/faults", {{"lose_answers", 1.0}, {"seed", 7}}));

    const auto lost = post(service, "/table/transact", write_of_a);
    ASSERT_TRUE(post(service, "/control/faults", {{"lose_answers", 0.0}}));
    const auto repeated = post(service, "/table/transact", write_of_a);

    EXPECT_FALSE(lost.has_value());
    ASSERT_TRUE(repeated.has_value());
    EXPECT_EQ(repeated->status, 409) << "the repeat must meet the row of the first";
    const auto row = read_row(service, "a");
    EXPECT_EQ(row.at("version"), 1);
    EXPECT_EQ(row.at("value").at("operation"), "op-1");
}

TEST(platform_service, transaction_during_an_outage_takes_no_effect)
{
    platform_service service{{}};
    ASSERT_TRUE(post(service, "/control/faults", {{"down", true}}));
    EXPECT_FALSE(post(service, "/table/transact", write_of_a).has_value());
    ASSERT_TRUE(post(service, "/control/faults", {{"down", "refuse"}}));
    EXPECT_EQ(post(service, "/table/transact", write_of_a)->status, 503);

    ASSERT_TRUE(post(service, "/control/faults", {{"down", false}}));
    const auto committed = post(service, "/table/transact", write_of_a);

    EXPECT_EQ(committed->status, 200);
    EXPECT_EQ(json::parse(committed->body).at("version"), 1);
}

TEST(platform_service, rate_above_the_budget_is_refused_and_counted)
{
    platform_service service{{.transact_rate = 1, .read_rate = 1}};
    ASSERT_EQ(post(service, "/table/transact", write_of_a)->status, 200);

    const auto refused = post(service, "/table/transact", write_of_a);

    EXPECT_EQ(refused->status, 429);
    const auto counters = call(service, {.method = "GET", .path = "/control/counters"});
    EXPECT_EQ(json::parse(counters->body).at("refused"), 1);
    EXPECT_EQ(json::parse(counters->body).at("transactions"), 1);
}

TEST(platform_service, vm_list_lags_behind_the_truth)
{
    platform_service service{{.vm_list_lag = base::milliseconds{60'000}}};
    ASSERT_TRUE(post(service, "/control/vms", {{"vms", {"first"}}}));
    ASSERT_TRUE(post(service, "/control/vms", {{"vms", {"second"}}}));

    const auto served = call(service, {.method = "GET", .path = "/vms"});

    EXPECT_EQ(json::parse(served->body).at("vms"), json::array({"first"}));
}

TEST(platform_service, malformed_transaction_is_refused)
{
    platform_service service{{}};

    const auto answer = post(service, "/table/transact", {{"writes", {{{"key", 7}}}}});

    EXPECT_EQ(answer->status, 400);
}

} // namespace
} // namespace poplarstile::standins::platform_standin
