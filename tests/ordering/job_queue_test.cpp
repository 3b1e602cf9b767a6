#include "ordering/job_queue.hpp"

#include "rules/rules_text.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace poplarstile::ordering
{
namespace
{

using base::milliseconds;

base::time_point at(std::int64_t ms)
{
    return base::time_point{milliseconds{ms}};
}

std::shared_ptr<const rules::ruleset> sample_rules()
{
    return std::make_shared<rules::ruleset>(
        rules::parse_rules("# asked by: test\nclass preview urgent within 1100ms\n"
                           "# asked by: test\nclass draw\n# asked by: test\nclass allocation\n"
                           "# asked by: test\nclass allocation before draw\n"
                           "# asked by: test\nworkspace north guarantee 1 of 2x8 in centro\n"
                           "# asked by: test\nworkspace north share 2\n"
                           "# asked by: test\nworkspace small quota 4 accelerators\n")
            .value());
}

job_queue sample_queue()
{
    job_queue queue{policy{}, "centro"};
    queue.set_rules(sample_rules());
    return queue;
}

/// All waiting jobs in order, while none finds a place.
std::vector<job_number> order_of(job_queue& queue, base::time_point now)
{
    std::vector<job_number> order;
    job_queue::pass pass{queue, now};
    while (const auto number = pass.next()) {
        order.push_back(*number);
    }
    return order;
}

TEST(job_queue, urgent_jobs_go_first)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "coast", .class_name = "chart"});
    queue.add({.number = 2, .workspace = "coast", .class_name = "preview"});

    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{2, 1}));
}

TEST(job_queue, a_class_waits_behind_one_that_a_rule_puts_before_it)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "coast", .class_name = "draw"});
    queue.add({.number = 2, .workspace = "coast", .class_name = "allocation"});

    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{2, 1}));
}

TEST(job_queue, a_workspace_below_its_guarantee_goes_before_one_without)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "coast"});
    queue.add({.number = 2, .workspace = "north", .shape = {2, 8}});
    queue.add_use("north", 0);

    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{2, 1}));

    queue.add_use("north", 16);
    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{1, 2}))
        << "north uses its whole guarantee and more than its share";
}

TEST(job_queue, less_attained_service_goes_first)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "coast", .attained = milliseconds{60'000}});
    queue.add({.number = 2, .workspace = "coast", .attained = milliseconds{0}});

    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{2, 1}));
}

TEST(job_queue, a_quota_holds_back_what_would_exceed_it)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "small", .shape = {1, 4}});
    queue.add({.number = 2, .workspace = "small", .shape = {1, 1}});
    queue.add_use("small", 1);

    EXPECT_EQ(order_of(queue, at(0)), (std::vector<job_number>{2}));
}

TEST(job_queue, use_that_grows_within_a_pass_changes_the_order)
{
    auto queue = sample_queue();
    queue.add({.number = 1, .workspace = "coast"});
    queue.add({.number = 2, .workspace = "coast"});
    queue.add({.number = 3, .workspace = "inland"});
    job_queue::pass pass{queue, at(0)};

    const auto first = pass.next();
    queue.remove(1);
    queue.add_use("coast", 8);
    const auto second = pass.next();

    EXPECT_EQ(first, job_number{1});
    EXPECT_EQ(second, job_number{3}) << "coast uses more than its share by now";
}

/// The stated bound: whatever arrives later, only urgent jobs and older ones go before a job that
/// has waited for the ageing time.
RC_GTEST_PROP(job_queue_bound, only_urgent_and_older_jobs_precede_an_aged_one, ())
{
    auto queue = sample_queue();
    const policy constants;
    const std::array<std::string, 3> spaces{"north", "coast", "small"};
    const std::array<std::string, 4> classes{"preview", "draw", "allocation", "chart"};
    queue.add({.number = 1,
               .workspace = "coast",
               .class_name = "draw",
               .shape = {4, 8},
               .attained = milliseconds{500'000},
               .queued_since = at(1'000)});
    const auto others = *rc::gen::inRange(0, 60);
    std::map<job_number, std::pair<std::string, base::time_point>> added;
    for (int other = 0; other < others; ++other) {
        queued_job job{.number = static_cast<job_number>(other) + 2};
        job.workspace = spaces.at(*rc::gen::inRange<std::size_t>(0, spaces.size()));
        job.class_name = classes.at(*rc::gen::inRange<std::size_t>(0, classes.size()));
        job.attained = milliseconds{*rc::gen::inRange(0, 200'000)};
        job.queued_since = at(*rc::gen::inRange(0, 90'000));
        added[job.number] = {job.class_name, job.queued_since};
        queue.add(job);
    }

    for (const auto number : order_of(queue, at(1'000) + constants.ageing)) {
        if (number == 1) {
            return;
        }
        const auto& [class_name, since] = added.at(number);
        RC_ASSERT(class_name == "preview" || since <= at(1'000));
    }
    RC_FAIL("the aged job was not offered a place");
}

/// A list that is sorted whole each time.
struct naive_queue {
    std::vector<queued_job> jobs{};
    std::map<std::string, double> used{};

    std::vector<job_number> order(base::time_point now) const
    {
        const double weights = 2 + 1 + 1;
        double fair = 0;
        for (const auto& [name, use] : used) {
            fair += use / weights;
        }
        const auto key = [&](const queued_job& job) {
            const bool urgent = job.class_name == "preview";
            if (now - job.queued_since >= policy{}.ageing) {
                return std::tuple{!urgent,
                                  false,
                                  0,
                                  false,
                                  false,
                                  std::size_t{0},
                                  std::uint64_t{0},
                                  0.0,
                                  job.queued_since,
                                  job.number};
            }
            const bool behind =
                job.class_name == "draw" &&
                std::ranges::count(jobs, std::string{"allocation"}, &queued_job::class_name) > 0;
            const auto use = used.at(job.workspace);
            const bool above =
                job.workspace != "north" || use + static_cast<double>(job.shape.total()) > 16;
            const double weighted = use / (job.workspace == "north" ? 2 : 1);
            return std::tuple{!urgent,           true,
                              behind ? 1 : 0,    above,
                              weighted > fair,   service_level(policy{}, job.attained),
                              job.shape.total(), weighted,
                              job.queued_since,  job.number};
        };
        auto sorted = jobs;
        std::ranges::sort(sorted, {}, key);
        std::vector<job_number> numbers;
        for (const auto& job : sorted) {
            if (job.workspace != "small" ||
                used.at("small") + static_cast<double>(job.shape.total()) <= 4) {
                numbers.push_back(job.number);
            }
        }
        return numbers;
    }
};

RC_GTEST_PROP(job_queue_model, gives_the_order_of_a_whole_sort, ())
{
    auto queue = sample_queue();
    naive_queue naive{.used = {{"north", 0}, {"coast", 0}, {"small", 0}}};
    const std::array<std::string, 3> spaces{"north", "coast", "small"};
    const std::array<std::string, 4> classes{"preview", "draw", "allocation", "chart"};
    const std::array<rules::shape, 3> shapes{rules::shape{1, 1}, {1, 4}, {2, 8}};
    for (const auto& name : spaces) {
        queue.add_use(name, 0);
    }
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step) {
        const auto choice = *rc::gen::inRange(0, 10);
        if (choice < 6) {
            const queued_job job{
                .number = static_cast<job_number>(step) + 1,
                .workspace = spaces.at(*rc::gen::inRange<std::size_t>(0, spaces.size())),
                .class_name = classes.at(*rc::gen::inRange<std::size_t>(0, classes.size())),
                .shape = shapes.at(*rc::gen::inRange<std::size_t>(0, shapes.size())),
                .stoppable = *rc::gen::arbitrary<bool>(),
                .attained = milliseconds{*rc::gen::inRange(0, 120'000)},
                .queued_since = at(std::int64_t{step} * 2'000)};
            queue.add(job);
            naive.jobs.push_back(job);
        } else if (choice < 8 && !naive.jobs.empty()) {
            const auto index = *rc::gen::inRange<std::size_t>(0, naive.jobs.size());
            RC_ASSERT(queue.remove(naive.jobs[index].number));
            naive.jobs.erase(naive.jobs.begin() + static_cast<std::ptrdiff_t>(index));
        } else {
            const auto& name = spaces.at(*rc::gen::inRange<std::size_t>(0, spaces.size()));
            queue.add_use(name, 2);
            naive.used[name] += 2;
        }
        RC_ASSERT(order_of(queue, at(std::int64_t{step} * 2'000)) ==
                  naive.order(at(std::int64_t{step} * 2'000)));
    }
}

} // namespace
} // namespace poplarstile::ordering
