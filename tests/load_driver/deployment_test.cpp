#include "bench/load_driver/deployment.hpp"
#include "bench/load_driver/workload.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace poplarstile::bench::load_driver
{
namespace
{

std::string example(const std::string& name)
{
    return std::string{POPLARSTILE_SOURCE_DIR} + "/examples/" + name;
}

/// Both deployments under examples/ have the sizes that they are documented with.
class example_deployment : public testing::TestWithParam<std::string>
{
};

TEST_P(example_deployment, has_eight_vms_and_fifty_workers_in_three_failure_domains)
{
    const auto read = load_deployment(example(GetParam()));

    ASSERT_TRUE(read.has_value()) << base::describe(read.error());
    const auto& target = read.value();
    EXPECT_EQ(target.vms.size(), 8);
    EXPECT_EQ(target.workers.size(), 50);
    EXPECT_EQ(target.control_addresses.size(), 3);
    std::set<std::string> domains;
    for (const auto& worker : target.workers) {
        domains.insert(worker.domain);
    }
    EXPECT_EQ(domains.size(), 3);
}

TEST_P(example_deployment, guarantees_shapes_only_in_its_own_failure_domains)
{
    const auto target = load_deployment(example(GetParam())).value();

    EXPECT_EQ(target.guarantees.size(), 5);
    for (const auto& shape : target.guarantees) {
        EXPECT_TRUE(std::ranges::any_of(target.workers, [&](const auto& worker) {
            return worker.domain == shape.domain;
        })) << shape.domain;
    }
}

TEST_P(example_deployment, has_a_workload_of_requests_and_jobs)
{
    const auto text = read_file(example(GetParam()) + "/workload.json").value();

    const auto work = parse_workload(text);

    ASSERT_TRUE(work.has_value()) << base::describe(work.error());
    EXPECT_GE(work.value().requests.size(), 4);
    EXPECT_GE(work.value().jobs.size(), 4);
}

INSTANTIATE_TEST_SUITE_P(examples, example_deployment,
                         testing::Values("camara-oscura", "recreation-utility"));

TEST(guarantees_of, reads_shapes_and_skips_other_lines)
{
    const auto shapes = guarantees_of("# who\nworkspace a guarantee 2 of 4x8 in bole # why\n"
                                      "workspace a share 2\n");

    ASSERT_EQ(shapes.size(), 1);
    EXPECT_EQ(shapes[0].domain, "bole");
    EXPECT_EQ(shapes[0].members, 4);
    EXPECT_EQ(shapes[0].accelerators, 8);
}

TEST(load_deployment, names_a_folder_that_is_not_there)
{
    const auto read = load_deployment("/nowhere");

    ASSERT_FALSE(read.has_value());
    EXPECT_NE(read.error().place.find("/nowhere"), std::string::npos);
}

} // namespace
} // namespace poplarstile::bench::load_driver
