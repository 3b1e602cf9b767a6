#include "poplarctl/commands.hpp"
#include "poplarctl/text_table.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

namespace poplarstile::poplarctl
{
namespace
{

TEST(parse_command, reads_words_and_operands)
{
    const std::vector<std::string> words = {"job", "why", "j-1"};

    const auto parsed = parse_command(words);

    ASSERT_TRUE(parsed.has_value());
    EXPECT_EQ(parsed.value().action, verb::job_why);
    EXPECT_THAT(parsed.value().operands, testing::ElementsAre("j-1"));
}

TEST(parse_command, refuses_unknown_commands_and_missing_operands)
{
    for (const std::vector<std::string>& words : {std::vector<std::string>{},
                                                  {"job"},
                                                  {"jobs", "list"},
                                                  {"job", "show"},
                                                  {"status", "x"}}) {
        const auto parsed = parse_command(words);
        ASSERT_TRUE(parsed.has_error());
        EXPECT_EQ(parsed.error().code, base::error_code::operator_argument_invalid);
    }
}

TEST(split_list, leaves_out_empty_parts)
{
    EXPECT_THAT(split_list("a,,b,"), testing::ElementsAre("a", "b"));
}

TEST(text_table, is_as_wide_as_its_widest_cell)
{
    const auto list = nlohmann::json::parse(R"([{"id":"w-1","n":10},{"id":"w"}])");

    EXPECT_EQ(to_text(table_of(list, {"id", "n"})), "id   n\nw-1  10\nw    -\n");
}

TEST(merge_timeline, orders_events_of_all_vms_by_their_clock)
{
    const auto text = merge_timeline({{{"hlc", 9}, {"kind", "later"}, {"process", "vm-1"}},
                                      {{"hlc", 2}, {"kind", "sooner"}, {"process", "vm-2"}}});

    EXPECT_LT(text.find("sooner"), text.find("later"));
}

TEST(run_command, tells_each_address_tried_when_no_vm_answers)
{
    std::ostringstream results;
    std::ostringstream messages;
    options flags;
    flags.vms = {"127.0.0.1:1", "127.0.0.1:2"};

    const auto ended = run_command({verb::status, {}}, flags, {&results, &messages});

    EXPECT_EQ(ended, exit_code::no_vm_answers);
    EXPECT_THAT(messages.str(), testing::HasSubstr("7002"));
    EXPECT_THAT(messages.str(), testing::HasSubstr("127.0.0.1:2"));
}

TEST(settings_check, ReadsTheSettingsOfBothPlatforms)
{
    const auto path = testing::TempDir() + "site_settings.json";
    std::ofstream{path} << R"({"backend":"row_store","vm":{"id":"vm-1"},"store":{}})";
    std::ostringstream results;
    std::ostringstream messages;

    const auto code = run_settings_command({verb::settings_check, {path}}, {&results, &messages});

    EXPECT_EQ(code, exit_code::refused);
    EXPECT_THAT(messages.str(), testing::HasSubstr("store.address"));
}

} // namespace
} // namespace poplarstile::poplarctl
