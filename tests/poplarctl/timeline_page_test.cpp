#include "poplarctl/timeline_page.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace poplarstile::poplarctl
{
namespace
{

using nlohmann::json;

json event_at(std::uint64_t hlc, const std::string& process, const std::string& subject,
              const std::string& detail = "")
{
    return {{"hlc", hlc},         {"seq", 1},    {"wall_us", 5},
            {"part", "jobs"},     {"kind", "k"}, {"process", process},
            {"subject", subject}, {"cause", ""}, {"detail", detail}};
}

/// The data that the page carries for its script.
json data_of(const std::string& page)
{
    const std::string opening = R"(id="events">)";
    const auto begin = page.find(opening) + opening.size();
    return json::parse(page.substr(begin, page.find("</script>", begin) - begin));
}

TEST(timeline_page, orders_events_by_their_logical_clock)
{
    // Above 2^53, where a script's numbers would lose the order.
    constexpr std::uint64_t base = 1'796'363'911'176'155ULL << 12U;
    const auto data = data_of(timeline_page(
        {event_at(base + 1, "vm-1", "job/late"), event_at(base, "vm-2", "job/early")}));

    ASSERT_EQ(data.size(), 2U);
    EXPECT_EQ(data[0]["subject"], "job/early");
    EXPECT_EQ(data[1]["subject"], "job/late");
}

TEST(timeline_page, keeps_details_from_ending_its_script)
{
    const auto page = timeline_page({event_at(1, "vm-1", "job/a", "</script><b>")});

    EXPECT_THAT(page, testing::Not(testing::HasSubstr("<b>")));
    EXPECT_EQ(data_of(page)[0]["detail"], "</script><b>");
}

TEST(timeline_page, needs_no_network)
{
    const auto page = timeline_page({});

    for (const auto* const reference : {"src=", "href=", "@import", "fetch("}) {
        EXPECT_THAT(page, testing::Not(testing::HasSubstr(reference)));
    }
}

TEST(timeline_page, takes_odd_events)
{
    const auto data = data_of(timeline_page({json{5}, json{{"hlc", "x"}, {"subject", 7}}}));

    ASSERT_EQ(data.size(), 1U);
    EXPECT_EQ(data[0]["subject"], "");
}

} // namespace
} // namespace poplarstile::poplarctl
