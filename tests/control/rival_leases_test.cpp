#include "store/lease_record.hpp"
#include "support/site_fixture.hpp"

#include <gtest/gtest.h>

/// Two VMs that took the leases of different parts, both without an answer, don't keep each other
/// from leading.
namespace poplarstile::tests
{
namespace
{

using std::chrono::seconds;

TEST(rival_leases, AnOwnLeaseThatARivalHasOvertakenDoesNotKeepEveryoneFromLeading)
{
    site_fixture site;
    const auto store_lease = [&site](std::size_t part, const store::lease_record& record) {
        site.store.put(store::lease_row(site.parts.name(part)), store::encode(record));
    };
    // The VMs are born as 1, 2 and 3; the epoch of the rival is the higher one.
    store_lease(0, {"vm1", 1, site_fixture::address_of("vm1"), 150'406, 0});
    store_lease(1, {"vm2", 2, site_fixture::address_of("vm2"), 178'917, 0});
    for (const auto* const name : {"vm1", "vm2", "vm3"}) {
        site.start(name);
    }

    EXPECT_NE(site.await_leader(seconds{60}), nullptr);
}

} // namespace
} // namespace poplarstile::tests
