#include "docs/page_text.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace poplarstile::docs
{
namespace
{

std::set<std::string> metrics_of_the_daemon()
{
    std::set<std::string> names;
    for (const auto& file : files_in("apps/poplarstiled", ".cpp")) {
        names.merge(all_matches(text_of(file), R"re("(poplarstile_[a-z_]+)")re"));
    }
    return names;
}

/// Names in an expression, without the suffixes that a histogram's series add.
std::set<std::string> metrics_named_in(const std::string& text)
{
    std::set<std::string> names;
    for (const auto& name : all_matches(text, R"(\b(poplarstile_[a-z_]+))")) {
        names.insert(std::regex_replace(name, std::regex{"_(bucket|sum|count)$"}, ""));
    }
    return names;
}

TEST(operators_files, name_only_metrics_that_the_daemon_has)
{
    const auto known = metrics_of_the_daemon();

    ASSERT_GT(known.size(), 10U) << "the daemon's metrics were not found in its source";
    for (const auto* const file : {"ops/alerts.yml", "ops/dashboard.json", "docs/OPERATIONS.md"}) {
        const auto named = metrics_named_in(text_of(file));
        EXPECT_FALSE(named.empty()) << file;
        for (const auto& name : named) {
            EXPECT_TRUE(known.contains(name)) << file << " names " << name;
        }
    }
}

TEST(operators_files, dashboard_shows_every_metric)
{
    const auto shown = metrics_named_in(text_of("ops/dashboard.json"));

    for (const auto& name : metrics_of_the_daemon()) {
        EXPECT_TRUE(shown.contains(name)) << name;
    }
}

TEST(operators_files, dashboard_is_json_with_panels)
{
    const auto dashboard = nlohmann::json::parse(text_of("ops/dashboard.json"), nullptr, false);

    ASSERT_TRUE(dashboard.is_object());
    EXPECT_GT(dashboard.value("panels", nlohmann::json::array()).size(), 0U);
}

TEST(operators_files, each_alert_has_its_section_and_each_section_its_alert)
{
    const auto alerts = all_matches(text_of("ops/alerts.yml"), R"(- alert: (\w+))");
    const auto described = all_matches(text_of("docs/OPERATIONS.md"), R"(\b(Poplarstile[A-Z]\w+))");

    EXPECT_EQ(alerts, described);
}

} // namespace
} // namespace poplarstile::docs
