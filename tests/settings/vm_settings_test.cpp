#include "settings/vm_settings.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace poplarstile::settings
{
namespace
{

using base::error_code;
using nlohmann::ordered_json;

/// The smallest settings that are right.
ordered_json valid_document()
{
    return ordered_json::parse(R"({
        "vm": {"id": "vm-1", "failure_domain": "centro", "region": "chile"},
        "listen": {"caller_port": 8001, "peer_port": 8002, "operator_port": 8003},
        "platform": {"address": "127.0.0.1:9000"},
        "workers": [
            {"id": "w-1", "address": "127.0.0.1:9101", "rack": "r1", "position": 0},
            {"id": "w-2", "address": "127.0.0.1:9102", "rack": "r1", "position": 1}],
        "operator_key": "0123456789abcdef"})");
}

struct found_fault {
    error_code code;
    std::string place;
    bool operator==(const found_fault&) const = default;
};

std::ostream& operator<<(std::ostream& stream, const found_fault& fault)
{
    return stream << static_cast<unsigned>(fault.code) << " at " << fault.place;
}

std::vector<found_fault> faults_of(const ordered_json& document)
{
    std::vector<found_fault> found;
    if (const auto parsed = parse_settings(document.dump()); parsed.has_error()) {
        for (const auto& failure : parsed.error().errors) {
            found.push_back({failure.code, failure.place});
        }
    }
    return found;
}

TEST(parse_settings, fills_what_is_given_and_defaults_the_rest)
{
    auto document = valid_document();
    document["times"]["worker_lease_ms"] = 4'500;
    document["policy"]["objective"] = "fragmentation";

    const auto parsed = parse_settings(document.dump());

    ASSERT_TRUE(parsed.has_value());
    const auto& settings = parsed.value();
    EXPECT_EQ(settings.vm.failure_domain, "centro");
    EXPECT_EQ(settings.listen.operator_port, 8003);
    EXPECT_EQ(settings.workers.size(), 2U);
    EXPECT_EQ(settings.workers.at(1).accelerators, 8U);
    EXPECT_EQ(settings.times.worker_lease, base::milliseconds{4'500});
    EXPECT_EQ(settings.times.rules_poll, base::milliseconds{1'000});
    EXPECT_EQ(settings.policy_objective, objective::fragmentation);
}

TEST(parse_settings, reports_every_fault_at_once_in_the_order_of_the_text)
{
    auto document = valid_document();
    document["vm"].erase("region");
    document["listen"]["caller_port"] = 70'000;
    document["workers"][1]["address"] = "worker-2:9102";
    document["limits"]["max_queued_request"] = 10;
    document["limits"]["retry_budget"] = "a tenth";

    EXPECT_THAT(faults_of(document),
                testing::ElementsAre(
                    found_fault{error_code::settings_missing_member, "vm.region"},
                    found_fault{error_code::settings_out_of_range, "listen.caller_port"},
                    found_fault{error_code::settings_out_of_range, "workers[1].address"},
                    found_fault{error_code::settings_unknown_member, "limits.max_queued_request"},
                    found_fault{error_code::settings_wrong_type, "limits.retry_budget"}));
}

struct bad_document {
    std::string name;
    /// RFC 7386 merge patch that spoils the valid document.
    std::string patch;
    found_fault expected;
};

class parse_settings_refuses : public testing::TestWithParam<bad_document>
{
};

TEST_P(parse_settings_refuses, one_spoiled_member)
{
    auto document = valid_document();
    document.merge_patch(ordered_json::parse(GetParam().patch));

    EXPECT_THAT(faults_of(document), testing::ElementsAre(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
    each_kind, parse_settings_refuses,
    testing::Values(
        bad_document{"unknown_section",
                     R"({"lissten":{}})",
                     {error_code::settings_unknown_member, "lissten"}},
        bad_document{"missing_section",
                     R"({"platform":null})",
                     {error_code::settings_missing_member, "platform"}},
        bad_document{"section_of_wrong_type",
                     R"({"limits":7})",
                     {error_code::settings_wrong_type, "limits"}},
        bad_document{"host_name",
                     R"({"listen":{"address":"localhost"}})",
                     {error_code::settings_out_of_range, "listen.address"}},
        bad_document{"fraction",
                     R"({"times":{"rules_poll_ms":1.5}})",
                     {error_code::settings_wrong_type, "times.rules_poll_ms"}},
        bad_document{"short_key",
                     R"({"operator_key":"short"})",
                     {error_code::settings_out_of_range, "operator_key"}},
        bad_document{"unknown_level",
                     R"({"log_level":"loud"})",
                     {error_code::settings_out_of_range, "log_level"}},
        bad_document{"unknown_objective",
                     R"({"policy":{"objective":"speed"}})",
                     {error_code::settings_out_of_range, "policy.objective"}},
        bad_document{"same_ports",
                     R"({"listen":{"peer_port":8001}})",
                     {error_code::settings_contradictory, "listen.peer_port"}},
        bad_document{"short_lease",
                     R"({"times":{"worker_lease_ms":1499}})",
                     {error_code::settings_contradictory, "times.worker_lease_ms"}},
        bad_document{"short_takeover",
                     R"({"times":{"scheduler_timeout_ms":1499}})",
                     {error_code::settings_contradictory, "times.scheduler_timeout_ms"}},
        bad_document{"lease_shorter_than_a_takeover",
                     R"({"times":{"scheduler_timeout_ms":1501}})",
                     {error_code::settings_contradictory, "times.scheduler_timeout_ms"}},
        bad_document{"deadline_over_its_limit",
                     R"({"times":{"max_deadline_ms":9999}})",
                     {error_code::settings_contradictory, "times.default_deadline_ms"}},
        bad_document{"queue_below_connections",
                     R"({"limits":{"max_queued_requests":7}})",
                     {error_code::settings_contradictory, "limits.max_queued_requests"}},
        bad_document{"peer_with_own_id",
                     R"({"peers":[{"id":"vm-1","failure_domain":"centro","region":"chile",
                                   "address":"127.0.0.2:8002"}]})",
                     {error_code::settings_contradictory, "peers[0].id"}}),
    [](const auto& tested) { return tested.param.name; });

TEST(parse_settings, refuses_two_workers_with_one_identity)
{
    auto document = valid_document();
    document["workers"][1] = document["workers"][0];

    EXPECT_THAT(faults_of(document),
                testing::UnorderedElementsAre(
                    found_fault{error_code::settings_contradictory, "workers[1].id"},
                    found_fault{error_code::settings_contradictory, "workers[1].address"},
                    found_fault{error_code::settings_contradictory, "workers[1].position"}));
}

TEST(parse_settings, never_repeats_the_operator_key_in_a_message)
{
    auto document = valid_document();
    document["operator_key"] = "a secret with blanks in it";

    const auto parsed = parse_settings(document.dump());

    ASSERT_TRUE(parsed.has_error());
    for (const auto& failure : parsed.error().errors) {
        EXPECT_EQ(base::describe(failure).find("blanks in it"), std::string::npos);
    }
}

TEST(parse_settings, refuses_what_is_not_one_json_object)
{
    for (const std::string text : {"", "[]", "{\"vm\":", "7"}) {
        const auto parsed = parse_settings(text);
        ASSERT_TRUE(parsed.has_error()) << text;
        EXPECT_EQ(parsed.error().errors.front().code, error_code::settings_unreadable) << text;
    }
}

TEST(parse_settings, refuses_a_member_that_stands_twice)
{
    auto text = valid_document().dump();
    text.insert(text.find("\"caller_port\""), "\"caller_port\":8001,");

    const auto parsed = parse_settings(text);

    ASSERT_TRUE(parsed.has_error());
    EXPECT_EQ(parsed.error().errors.front().code, error_code::settings_contradictory);
    EXPECT_EQ(parsed.error().errors.front().place, "listen.caller_port");
}

TEST(load_settings, reports_a_file_that_does_not_exist)
{
    const auto loaded = load_settings("no/such/file.json");

    ASSERT_TRUE(loaded.has_error());
    EXPECT_EQ(loaded.error().errors.front().code, error_code::settings_unreadable);
    EXPECT_EQ(loaded.error().errors.front().place, "no/such/file.json");
}

} // namespace
} // namespace poplarstile::settings
