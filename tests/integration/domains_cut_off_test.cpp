#include "integration/observations.hpp"

#include <algorithm>

namespace poplarstile::integration
{
namespace
{

using base::milliseconds;
using bench::checker::answer;

/// What a failure domain is cut off from.
struct cut {
    std::string name{};
    bool from_platform = false;
    bool from_domains = false;
};

/// docs/OPERATIONS.md, "What is served when cut off": one test for each row of the table, over the
/// kinds of work in its columns.
class domain_cut_off : public testing::TestWithParam<cut>
{
protected:
    void SetUp() override
    {
        auto started = cluster::start({.domains = {"centro", "sur"}, .rules = request_rules()});
        ASSERT_TRUE(started.has_value()) << base::describe(started.error());
        system_ = std::move(started).value();
        ASSERT_FALSE(await_scheduler(*system_, "centro").empty());
    }

    void impose(const cut& wanted)
    {
        for (const auto& vm : system_->vms()) {
            if (wanted.from_platform && vm.starts_with("centro")) {
                system_->set_link(vm, "platform", "blackhole");
            }
            for (const auto& other : system_->vms()) {
                if (wanted.from_domains && vm.substr(0, 3) != other.substr(0, 3)) {
                    system_->set_link(vm, "peer-" + other, "blackhole");
                }
            }
        }
    }

    std::unique_ptr<cluster> system_;
};

TEST_P(domain_cut_off, serves_idempotent_requests)
{
    impose(GetParam());
    wait(milliseconds{2'500});

    for (int number = 0; number < 10; ++number) {
        const auto marker = fmt::format("chart-{}", number);
        const auto got = system_->request("centro-vm1", {.key = marker, .marker = marker});
        EXPECT_EQ(got.told, answer::completed) << got.body.dump();
    }
    EXPECT_EQ(system_->request("sur-vm1", {.key = "sur", .marker = "sur"}).told, answer::completed);
}

TEST_P(domain_cut_off, takes_work_that_must_not_be_repeated_only_with_the_table)
{
    impose(GetParam());
    wait(milliseconds{2'500});

    const auto got =
        system_->request("centro-vm1", {.service = "sheet", .key = "once", .marker = "once"});

    if (GetParam().from_platform) {
        EXPECT_EQ(got.told, answer::not_run) << got.body.dump();
        EXPECT_EQ(system_->executions_of("once"), 0U);
    } else {
        EXPECT_EQ(got.told, answer::completed) << got.body.dump();
    }
    const auto found = bench::checker::check(system_->history(), {});
    EXPECT_TRUE(found.empty()) << describe(found);
}

TEST_P(domain_cut_off, accepts_jobs_only_with_the_table_and_keeps_running_ones)
{
    const auto before = job_of(submit_job(*system_, "centro-vm1", "before", "2x8", 5'000));
    ASSERT_TRUE(eventually(milliseconds{4'000},
                           [&] { return started_tasks(*system_, before).size() == 2; }));
    impose(GetParam());
    wait(milliseconds{2'500});

    const auto reply = submit_job(*system_, "centro-vm2", "during", "1x4", 100);

    EXPECT_EQ(reply.status, GetParam().from_platform ? 503 : 202) << reply.body;
    wait(milliseconds{3'500});
    system_->heal_links();
    EXPECT_TRUE(eventually(milliseconds{10'000}, [&] {
        return job_state(*system_, "centro-vm1", before) == "completed";
    }));
    EXPECT_EQ(started_tasks(*system_, before).size(), 2U) << "it ran through the cut";
}

TEST_P(domain_cut_off, accepts_rules_only_with_the_table_and_never_goes_back)
{
    impose(GetParam());
    wait(milliseconds{1'000});
    const auto text = request_rules() + "class cut    # asked by: tests\n";

    const auto inside = apply(*system_, "centro-vm1", text, 1, "inside");

    EXPECT_EQ(inside.status, GetParam().from_platform ? 503 : 200) << inside.body;
    const auto outside = apply(*system_, "sur-vm1", text, 1, "outside");
    EXPECT_EQ(outside.status, 200) << "the other domains go on";
    if (GetParam().from_platform && GetParam().from_domains) {
        EXPECT_EQ(rules_version(*system_, "centro-vm1"), 1U);
    } else {
        EXPECT_TRUE(eventually(milliseconds{3'000}, [&] {
            return rules_version(*system_, "centro-vm1") == 2 &&
                   rules_version(*system_, "centro-vm2") == 2;
        })) << "from the table, or through the peers of the other domain";
    }
    system_->heal_links();
    EXPECT_TRUE(eventually(milliseconds{8'000},
                           [&] { return rules_version(*system_, "centro-vm2") == 2; }));
}

INSTANTIATE_TEST_SUITE_P(each_cut, domain_cut_off,
                         testing::Values(cut{"from_the_platform", true, false},
                                         cut{"from_other_domains", false, true},
                                         cut{"from_both", true, true}),
                         [](const auto& row) { return row.param.name; });

} // namespace
} // namespace poplarstile::integration
