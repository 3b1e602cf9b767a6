#include "cluster/cluster_codec.hpp"

#include <gtest/gtest.h>

namespace poplarstile::cluster
{
namespace
{

const vm_entry vm{"vm-1", 77, "10.0.0.1:7001", "bole", 250};

leader_heartbeat full_beat()
{
    leader_heartbeat beat;
    beat.leader = vm;
    beat.epoch = 5;
    beat.sequence = 6;
    beat.snapshot = true;
    beat.partial = true;
    beat.changes = {{"0000000000000001", "q", "shop", batch::job_status::failed}};
    beat.loads = {{"q", 3, 2}};
    beat.configuration = 8;
    beat.configuration_ms_ago = 9;
    beat.confirmed_ms_ago = 10;
    beat.vms = {vm};
    beat.vacant = true;
    beat.successor = "vm-2";
    beat.lease_version = 11;
    beat.lease_part = 1;
    return beat;
}

std::vector<message> all_messages()
{
    return {full_beat(),
            heartbeat_reply{vm, 5, true, 8, true},
            hello{vm},
            hello_answer{vm, vm, 5, 100, {vm}, 8},
            configuration_request{8},
            configuration_reply{9, "document", 12},
            store_call{"POST", "/target", "body", 30, "scope"},
            store_answer{1, 503, "busy"},
            stored_row{"site-0", "0000000000000001", "value", 3},
            uncertain_submission{"0000000000000001"}};
}

TEST(cluster_codec, EveryMessageComesBackAsItWas)
{
    for (const auto& sent : all_messages()) {
        const auto bytes = encode(sent);
        ASSERT_TRUE(bytes.has_value()) << sent.index();
        const auto read = decode(bytes.value());
        ASSERT_TRUE(read.has_value()) << sent.index();
        EXPECT_EQ(read.value(), sent) << sent.index();
    }
}

TEST(cluster_codec, ACutMessageIsAnError)
{
    for (const auto& sent : all_messages()) {
        const auto bytes = encode(sent).value();
        for (std::size_t length = 0; length + 1 < bytes.size(); length += 3) {
            EXPECT_FALSE(decode(bytes.substr(0, length)).has_value()) << sent.index();
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
