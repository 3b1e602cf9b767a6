#include "integration/harness/cluster.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace poplarstile::integration
{
namespace
{

using bench::checker::answer;

TEST(RequestsEndToEnd, EachClassIsAnsweredWholeByEveryVm)
{
    auto started = cluster::start({.domains = {"centro", "sur"}, .rules = request_rules()});
    ASSERT_TRUE(started.has_value()) << base::describe(started.error());
    auto& system = *started.value();

    for (const auto& vm : system.vms()) {
        for (const std::string service : {"chart", "preview", "sheet"}) {
            const auto marker = fmt::format("{}-{}", vm, service);
            const auto got =
                system.request(vm, {.service = service, .key = marker, .marker = marker});
            EXPECT_EQ(got.told, answer::completed) << marker << ": " << got.body.dump();
            EXPECT_EQ(got.marker, marker);
        }
    }

    const auto found = bench::checker::check(system.history(), {});
    EXPECT_TRUE(found.empty()) << describe(found);
}

} // namespace
} // namespace poplarstile::integration
