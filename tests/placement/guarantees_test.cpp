#include "placement/guarantees.hpp"

#include "placement/naive_cells.hpp"
#include "rules/rules_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace poplarstile::placement
{
namespace
{

std::vector<domain_hardware> one_rack(std::uint32_t workers)
{
    std::vector<worker_hardware> hardware;
    for (std::uint32_t at = 0; at < workers; ++at) {
        hardware.push_back({"w" + std::to_string(at), "rack", at, 8});
    }
    return {{"centro", topology::create(hardware)}};
}

rules::ruleset rules_of(std::string_view text)
{
    return rules::parse_rules(text).value();
}

TEST(check_guarantees, accepts_what_fills_the_hardware)
{
    const auto rules = rules_of("workspace a guarantee 1 of 4x8 in centro  # asked by: a\n"
                                "workspace b guarantee 2 of 2x8 in centro  # asked by: b\n");

    EXPECT_TRUE(check_guarantees(rules, one_rack(8)).empty());
}

TEST(check_guarantees, names_the_line_that_breaks_and_the_lines_it_collides_with)
{
    const auto rules = rules_of("workspace a guarantee 1 of 4x8 in centro  # asked by: a\n"
                                "workspace b guarantee 1 of 1x1 in centro  # asked by: b\n"
                                "workspace c guarantee 1 of 4x8 in centro  # asked by: c\n");

    const auto errors = check_guarantees(rules, one_rack(8));

    ASSERT_EQ(errors.size(), 1U);
    EXPECT_EQ(errors[0].code, base::error_code::rules_infeasible);
    EXPECT_EQ(errors[0].place, "rules:3");
    EXPECT_NE(errors[0].detail.find("line 1 'workspace a guarantee 1 of 4x8 in centro'"),
              std::string::npos)
        << errors[0].detail;
    EXPECT_NE(errors[0].detail.find("line 2"), std::string::npos)
        << "one accelerator breaks a cell as well: " << errors[0].detail;
}

TEST(check_guarantees, says_so_when_a_line_fits_nowhere)
{
    const auto rules = rules_of("workspace a guarantee 1 of 16x8 in centro  # asked by: a\n");

    const auto errors = check_guarantees(rules, one_rack(8));

    ASSERT_EQ(errors.size(), 1U);
    EXPECT_NE(errors[0].detail.find("does not have"), std::string::npos) << errors[0].detail;
}

TEST(check_guarantees, leaves_other_failure_domains_alone)
{
    const auto rules = rules_of("workspace a guarantee 9 of 4x8 in norte  # asked by: a\n");

    EXPECT_TRUE(check_guarantees(rules, one_rack(8)).empty());
}

std::vector<cell_need> arbitrary_needs()
{
    std::vector<cell_need> needs;
    const auto count = testing::any_in(1, 5);
    for (int at = 0; at < count; ++at) {
        const rules::shape wanted{*rc::gen::element(1U, 1U, 2U, 3U),
                                  *rc::gen::element(1U, 1U, 2U, 4U)};
        needs.push_back(need_of(wanted));
    }
    std::ranges::sort(needs, std::ranges::greater{});
    return needs;
}

RC_GTEST_PROP(shortfall, agrees_with_exhaustive_search, ())
{
    const auto hardware = topology::create(testing::arbitrary_workers(2, 4));
    testing::place_set places;
    cell_index available{hardware};
    for (const auto& [line, at] : testing::all_places(hardware)) {
        if (*rc::gen::weightedElement<bool>({{7, true}, {1, false}})) {
            places.emplace(line, at);
            available.set({line, at}, true);
        }
    }
    const auto needs = arbitrary_needs();
    std::vector<cell_demand> demands;
    for (const auto& need : needs) {
        demands.push_back({need, 1});
    }

    const auto missing = shortfall(available, demands);

    const bool fits = std::ranges::all_of(missing, [](auto count) { return count == 0; });
    RC_CLASSIFY(fits, "fits");
    RC_ASSERT(fits == testing::all_fit(hardware, places, needs));
}

RC_GTEST_PROP(shortfall, thinks_a_cell_away_as_if_it_was_removed, ())
{
    const auto hardware = topology::create(testing::arbitrary_workers(2, 4));
    cell_index available{hardware};
    for (const auto& [line, at] : testing::all_places(hardware)) {
        available.set({line, at}, *rc::gen::weightedElement<bool>({{7, true}, {1, false}}));
    }
    const cell_need need{testing::any_in(0U, 4U), 0};
    const auto found = available.best_fit(need);
    RC_PRE(found.has_value());
    std::vector<cell_demand> demands;
    for (const auto& wanted : arbitrary_needs()) {
        demands.push_back({wanted, 1});
    }
    const removed_cell removed{hardware.width_level(found->line), found->level,
                               available.enclosing_level(*found)};

    const auto thought = shortfall(available, demands, removed);
    for (auto at = found->first; at < found->first + found->size(); ++at) {
        available.set({found->line, at}, false);
    }

    RC_ASSERT(thought == shortfall(available, demands));
}

} // namespace
} // namespace poplarstile::placement
