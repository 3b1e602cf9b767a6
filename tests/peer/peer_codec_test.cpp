#include "peer/peer_codec.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace poplarstile::peer
{
namespace
{

constexpr auto greatest = std::numeric_limits<std::uint64_t>::max();

gossip full_header()
{
    return {.from = "vm1",
            .incarnation = greatest,
            .hlc = greatest - 1,
            .rules_version = 9'400,
            .updates = {{"vm2", "centro", "127.0.0.1:7000", member_state::suspect, 3, 17, "vm1"},
                        {"vm3", "sur", "127.0.0.1:7001", member_state::dead, 4, 0, "vm2"}},
            .leases = {{"centro", "vm1", greatest}}};
}

std::vector<message> one_of_each()
{
    return {ping{1, "vm2", full_header()},
            ping_ack{2, "vm2", full_header()},
            ping_request{3, "vm2", full_header()},
            rules_request{"vm1", 41},
            rules_reply{1, 3, {R"({"version":2})", R"({"version":3})"}, ""},
            rules_reply{0, 3, {}, "class preview urgent # asked by: shops"},
            leave{"vm1", 7},
            scheduler_forward{scheduler_call::list, "vm1", R"({"state":"queued"})"},
            scheduler_answer{503, R"({"code":6003})"},
            load_report{"vm1", {{"w-001", 8}, {"w-002", 0}}},
            members_request{"vm1", "vm0"},
            members_reply{"vm1", full_header().updates, true}};
}

bool is_message_or_numbered_error(const base::result<message>& received)
{
    return received.has_value() || received.error().code == base::error_code::peer_message_invalid;
}

TEST(peer_codec, every_message_survives_the_round_trip)
{
    for (const auto& sent : one_of_each()) {
        const auto bytes = encode(sent);
        ASSERT_TRUE(bytes);

        const auto received = decode(bytes.value());

        ASSERT_TRUE(received) << base::describe(received.error());
        EXPECT_EQ(received.value(), sent) << "message " << sent.index();
    }
}

TEST(peer_codec, every_cut_frame_is_a_numbered_error)
{
    for (const auto& sent : one_of_each()) {
        const auto bytes = encode(sent).value();
        for (std::size_t length = 0; length < bytes.size(); ++length) {
            const auto received = decode(std::string_view{bytes}.substr(0, length));
            ASSERT_FALSE(received) << "message " << sent.index() << " cut to " << length;
            EXPECT_EQ(received.error().code, base::error_code::peer_message_invalid);
        }
    }
}

TEST(peer_codec, refuses_bytes_after_the_message)
{
    const auto received = decode(encode(leave{"vm1", 7}).value() + "x");

    ASSERT_FALSE(received);
    EXPECT_EQ(received.error().detail, "bytes follow the message");
}

TEST(peer_codec, refuses_what_is_past_the_limits)
{
    const rules_reply long_one{1, 3, {std::string(200, 'a'), "b", "c"}, ""};
    const auto bytes = encode(long_one).value();

    EXPECT_FALSE(encode(long_one, {.max_bytes = 100}));
    EXPECT_FALSE(decode(bytes, {.max_bytes = 100}));
    EXPECT_FALSE(decode(bytes, {.max_list = 2}));
    EXPECT_TRUE(decode(bytes, {.max_list = 3}));
}

TEST(peer_codec, refuses_unknown_states_and_calls)
{
    auto header = full_header();
    header.updates[0].state = static_cast<member_state>(9);

    EXPECT_FALSE(decode(encode(ping{1, "vm2", header}).value()));
    EXPECT_FALSE(
        decode(encode(scheduler_forward{static_cast<scheduler_call>(77), "vm1", ""}).value()));
}

RC_GTEST_PROP(peer_codec_fuzz, random_bytes_never_do_harm, (const std::string& bytes))
{
    const auto received = decode(bytes);

    RC_ASSERT(is_message_or_numbered_error(received));
}

// One changed byte keeps most of the structure, and so reaches deeper than random bytes do.
RC_GTEST_PROP(peer_codec_fuzz, changed_frames_never_do_harm, ())
{
    const auto messages = one_of_each();
    auto bytes = encode(*rc::gen::elementOf(messages)).value();
    const auto changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    }

    const auto received = decode(bytes);

    RC_ASSERT(is_message_or_numbered_error(received));
}

} // namespace
} // namespace poplarstile::peer
