#include "control/heartbeat_pacing.hpp"

#include <gtest/gtest.h>

namespace poplarstile::tests
{
namespace
{

using base::milliseconds;

TEST(heartbeat_pacing, AFewVmsAreToldAtOnce)
{
    EXPECT_EQ(control::heartbeat_batch_delay(1), milliseconds{10});
    EXPECT_EQ(control::heartbeat_batch_delay(7), milliseconds{17});
}

TEST(heartbeat_pacing, TheRateOfMessagesIsBoundedWhateverTheNumberOfVms)
{
    constexpr std::size_t most_per_s = 400;
    for (std::size_t vms = 8; vms <= 120; ++vms) {
        const auto rounds_per_s = milliseconds{1'000} / control::heartbeat_batch_delay(vms);
        EXPECT_LE(static_cast<std::size_t>(rounds_per_s) * vms, most_per_s + vms) << vms << " VMs";
    }
}

TEST(heartbeat_pacing, ChangesNeverWaitLongerThanForTheNextHeartbeat)
{
    EXPECT_EQ(control::heartbeat_batch_delay(10'000), control::heartbeat_interval);
}

} // namespace
} // namespace poplarstile::tests
