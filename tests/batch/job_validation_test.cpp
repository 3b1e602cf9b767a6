#include "batch/job_validation.hpp"

#include <gtest/gtest.h>

namespace poplarstile::batch
{
namespace
{

job_spec spec_of(std::vector<step_spec> steps)
{
    job_spec spec;
    spec.steps = std::move(steps);
    return spec;
}

step_spec step(std::uint32_t tasks, std::vector<std::uint32_t> after = {})
{
    step_spec made;
    made.task_count = tasks;
    made.after = std::move(after);
    return made;
}

TEST(job_validation, AcceptsAValidJob)
{
    EXPECT_FALSE(validation_error(spec_of({step(1), step(2, {0})})));
}

TEST(job_validation, RejectsJobsThatCanNeverRun)
{
    EXPECT_TRUE(validation_error(spec_of({})));
    EXPECT_TRUE(validation_error(spec_of({step(0)})));
    EXPECT_TRUE(validation_error(spec_of({step(1, {0})}))) << "a step that depends on itself";
    EXPECT_TRUE(validation_error(spec_of({step(1, {1}), step(1)})))
        << "a step that depends on a later step";
    EXPECT_TRUE(validation_error(spec_of(std::vector(max_steps + 1, step(1)))));
}

TEST(job_validation, RejectsExcessiveTaskCountsBeforeAllocating)
{
    EXPECT_TRUE(validation_error(spec_of({step(4'294'967'295U)})));
    EXPECT_TRUE(validation_error(spec_of({step(4'294'967'295U), step(4'294'967'295U)})));
    auto repeated = spec_of({step(100)});
    repeated.repeat = recurrence{4'000'000'000U, 0, 1};
    EXPECT_TRUE(validation_error(repeated));
}

TEST(job_validation, RejectsTaskCountsWhoseProductIsBeyond64Bits)
{
    constexpr std::uint32_t largest = 4'294'967'295U;
    auto repeated = spec_of({step(largest), step(largest), step(2)});
    repeated.repeat = recurrence{2'147'483'648U, 0, 1};

    EXPECT_TRUE(validation_error(repeated)) << "2^33 tasks, 2^31 times";
}

TEST(job_validation, RejectsNegativeRequirements)
{
    auto negative = step(1);
    negative.need.accelerators = -1;

    EXPECT_TRUE(validation_error(spec_of({negative})));
}

} // namespace
} // namespace poplarstile::batch
