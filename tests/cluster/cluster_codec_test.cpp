#include "cluster/cluster_codec.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

namespace poplarstile::cluster
{
namespace
{

const vm_entry vm{"vm-1", 77, "10.0.0.1:7001", "bole", 250};

leader_heartbeat full_heartbeat()
{
    leader_heartbeat heartbeat;
    heartbeat.leader = vm;
    heartbeat.epoch = 5;
    heartbeat.sequence = 6;
    heartbeat.snapshot = true;
    heartbeat.partial = true;
    heartbeat.changes = {{"0000000000000001", "q", "shop", batch::job_status::failed}};
    heartbeat.loads = {{"q", 3, 2, queue_shortage{40'000, 10'000, 250, {"shop"}}}, {"r", 1, 0}};
    heartbeat.configuration = 8;
    heartbeat.configuration_ms_ago = 9;
    heartbeat.confirmed_ms_ago = 10;
    heartbeat.vms = {3, 4, {vm}, {"10.0.0.9:8526"}};
    heartbeat.vacant = true;
    heartbeat.successor = "vm-2";
    heartbeat.lease_version = 11;
    heartbeat.lease_part = 1;
    return heartbeat;
}

std::vector<message> all_messages()
{
    return {full_heartbeat(),
            heartbeat_reply{vm, 5, true, 8, true, 4},
            hello{vm},
            hello_answer{vm, vm, 5, 100, {vm}, 8},
            configuration_request{8},
            configuration_reply{9, "document", 12},
            store_call{"POST", "/target", "body", 30, "scope"},
            store_answer{1, 503, "busy"},
            stored_row{"site-0", "0000000000000001", "value", 3},
            uncertain_submission{"0000000000000001"}};
}

TEST(cluster_codec, EveryMessageSurvivesARoundTrip)
{
    for (const auto& original : all_messages()) {
        const auto bytes = encode(original);
        ASSERT_TRUE(bytes.has_value()) << original.index();
        const auto decoded = decode(bytes.value());
        ASSERT_TRUE(decoded.has_value()) << original.index();
        EXPECT_EQ(decoded.value(), original) << original.index();
    }
}

TEST(cluster_message, OnlyARelayedWriteToTheStoreCarriesOne)
{
    for (const auto& sent : all_messages()) {
        EXPECT_EQ(carries_write(sent), std::holds_alternative<store_call>(sent)) << sent.index();
    }
    EXPECT_FALSE(carries_write(store_call{"GET", "/target", {}, 0, "scope"}));
}

/// The heartbeat below as the builds before `queue_load.shortage` encoded it.
constexpr std::string_view earlier_heartbeat =
    "15021c1c1c1804766d2d31169a01180d31302e302e302e313a373030311804626f6c6515f4031500"
    "00160a160c12190c192c1801711506150400180172150215000016001500190c1215001800160015"
    "0212160016001908000000";

leader_heartbeat heartbeat_without_shortage()
{
    leader_heartbeat heartbeat;
    heartbeat.leader = vm;
    heartbeat.epoch = 5;
    heartbeat.sequence = 6;
    heartbeat.loads = {{"q", 3, 2}, {"r", 1, 0}};
    heartbeat.lease_part = 1;
    return heartbeat;
}

std::string from_hex(std::string_view text)
{
    std::string bytes;
    for (std::size_t at = 0; at < text.size(); at += 2) {
        bytes.push_back(static_cast<char>(std::stoi(std::string{text.substr(at, 2)}, nullptr, 16)));
    }
    return bytes;
}

// Guards against heartbeats that change where no queue is short of capacity.
TEST(cluster_codec, OldAndNewBuildsExchangeHeartbeats)
{
    const auto earlier = from_hex(earlier_heartbeat);
    EXPECT_EQ(encode(heartbeat_without_shortage()).value(), earlier);
    const auto decoded = decode(earlier);
    ASSERT_TRUE(decoded.has_value());
    EXPECT_EQ(decoded.value(), message{heartbeat_without_shortage()});
}

// Guards against heartbeats that grow with the number of workspaces.
TEST(cluster_codec, AShortageTakesFewBytes)
{
    auto heartbeat = heartbeat_without_shortage();
    const auto before = encode(heartbeat).value().size();
    heartbeat.loads.front().shortage = queue_shortage{40'000, 10'000, 250, {"shop"}};
    EXPECT_LE(encode(heartbeat).value().size() - before, 24U);
}

// Guards against a message that takes thirty times its length, because each list is short enough.
TEST(cluster_codec, ManyListsOfManyTextsAreRefused)
{
    auto heartbeat = heartbeat_without_shortage();
    queue_load load;
    load.shortage.emplace().at_fair_share.resize(40'000);
    heartbeat.loads = {load, load};
    EXPECT_TRUE(decode(encode(heartbeat).value()).has_value());
    heartbeat.loads.push_back(load);

    EXPECT_FALSE(decode(encode(heartbeat).value()).has_value());
}

TEST(cluster_codec, ATruncatedMessageIsAnError)
{
    for (const auto& original : all_messages()) {
        const auto bytes = encode(original).value();
        for (std::size_t length = 0; length + 1 < bytes.size(); length += 3) {
            EXPECT_FALSE(decode(bytes.substr(0, length)).has_value()) << original.index();
        }
    }
}

TEST(cluster_codec, OtherBytesAreAnError)
{
    EXPECT_FALSE(decode("").has_value());
    EXPECT_FALSE(decode("GET / HTTP/1.1").has_value());
    EXPECT_FALSE(decode(std::string(200, '\xff')).has_value());
}

} // namespace
} // namespace poplarstile::cluster
