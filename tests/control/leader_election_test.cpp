#include "control/leader_election.hpp"

#include "support/fake_store.hpp"
#include "support/virtual_time.hpp"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

/// Which VM becomes leader when several try to take the lease row at the same time.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;

class leadership_contest : public testing::Test
{
protected:
    /// Starts a VM that receives no replies from the others.
    void start(const std::string& name, std::uint64_t incarnation)
    {
        control::leader_election_options options;
        options.parts = store::part_map{"site", 4};
        options.self = {name, incarnation, "peer-of-" + name, "domain", 250};
        rows_[name] = store_.port(name);
        control::leader_election_ports ports;
        ports.rows = &rows_.at(name);
        ports.peers = &peers_;
        ports.time = &time_.timers();
        ports.vms = [] { return std::vector<cluster::vm_entry>{}; };
        ports.on_elected = [this, name](const store::lease_record& lease, std::size_t /*part*/,
                                        store::row_version /*version*/) { elected_[name] = lease; };
        ports.on_vm_seen = [](const cluster::vm_entry& /*vm*/) {};
        vms_[name] = std::make_unique<control::leader_election>(std::move(ports), options);
        vms_.at(name)->start();
    }

    virtual_time time_;
    fake_store store_{time_};
    std::map<std::string, store::row_store> rows_;
    control::peer_port peers_{
        [this](const auto& /*address*/, const auto& /*sent*/, milliseconds timeout,
               const auto& reply) { time_.after(timeout, [reply] { reply(std::nullopt); }); }};
    std::map<std::string, std::unique_ptr<control::leader_election>> vms_;
    std::map<std::string, store::lease_record> elected_;
};

// Incarnations are identified by their start time, which two VMs can share.
TEST_F(leadership_contest, VmsBornAtOneMomentElectOneLeader)
{
    constexpr std::uint64_t incarnation = 1'796'389'545'754'335;

    start("vm1", incarnation);
    start("vm2", incarnation);
    time_.run_for(milliseconds{500});

    EXPECT_EQ(elected_.size(), 1U);
}

TEST_F(leadership_contest, VmsStartedAtDifferentTimesElectOneLeader)
{
    start("vm1", 1'000);
    start("vm2", 2'000);
    time_.run_for(milliseconds{500});

    EXPECT_EQ(elected_.size(), 1U);
}

// The reply is lost but the write took effect: the next read of the row finds this VM as holder.
TEST_F(leadership_contest, AWriteWhoseAnswerWasLostElectsItsWriter)
{
    store_.decide = [](const std::string& /*vm*/, bool is_write) {
        return is_write ? fake_store::fate::lose_answer : fake_store::fate::serve;
    };

    start("vm1", 1'000);
    time_.run_for(milliseconds{3'000});

    EXPECT_EQ(elected_.count("vm1"), 1U);
}

} // namespace
} // namespace poplarstile::tests
