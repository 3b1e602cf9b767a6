#include "frontend/api_frontend.hpp"
#include "support/virtual_time.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

/// Submissions whose outcome is not known are remembered for a time and no longer.
namespace poplarstile::tests
{
namespace
{

TEST(uncertain_submissions, AreForgottenWhenTheirTimeIsOver)
{
    virtual_time time;
    frontend::frontend_ports ports;
    ports.time = &time.timers();
    frontend::api_frontend frontend{std::move(ports), {}};

    for (int number = 0; number < 600; ++number) {
        frontend.mark_uncertain(fmt::format("{:016x}", number));
        time.run_for(std::chrono::seconds{1});
    }

    EXPECT_LE(frontend.uncertain_submissions(), 31U);
    EXPECT_GE(frontend.uncertain_submissions(), 30U);
}

} // namespace
} // namespace poplarstile::tests
