#include "control/leader_election.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

/// When a VM wants a new leader, and which VM leads best.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leadership"};
constexpr base::milliseconds tick_interval{100};
/// Time during which only the successor named by a leaving leader tries to take the lease.
constexpr base::milliseconds successor_head_start{300};
/// Bandwidth that a leader uses with each thousandth of a core.
constexpr std::uint32_t link_kbit_per_processor_milli = 40;

} // namespace

std::uint32_t leading_capacity(const cluster::vm_entry& vm)
{
    if (vm.link_kbit == 0) {
        return vm.processor_millis;
    }
    return std::min(vm.processor_millis, vm.link_kbit / link_kbit_per_processor_milli);
}

bool is_better_leader(const cluster::vm_entry& one, const cluster::vm_entry& other)
{
    const auto key = [](const cluster::vm_entry& vm) {
        return std::pair{leading_capacity(vm), vm.processor_millis};
    };
    if (key(one) != key(other)) {
        return key(one) > key(other);
    }
    return one.vm < other.vm;
}

leader_election::leader_election(leader_election_ports ports, leader_election_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}, last_heartbeat_at_{ports_.time->now()}
{
}

leader_election::~leader_election()
{
    *alive_ = false;
}

void leader_election::start()
{
    tick();
    schedule_tick();
}

base::milliseconds leader_election::leader_silence() const
{
    if (leading_) {
        return base::milliseconds{0};
    }
    return std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - last_heartbeat_at_);
}

bool leader_election::receive_heartbeat(const cluster::leader_heartbeat& heartbeat)
{
    if (heartbeat.epoch < epoch_ || (leading_ && heartbeat.epoch <= epoch_)) {
        return false;
    }
    if (heartbeat.epoch > epoch_ || heartbeat.leader.vm != leader_.vm) {
        log.keep("leader_known", {{"leader", heartbeat.leader.vm},
                                  {"epoch", heartbeat.epoch},
                                  {"silence_ms", leader_silence().count()}});
    }
    epoch_ = heartbeat.epoch;
    leader_ = heartbeat.leader;
    last_heartbeat_at_ = ports_.time->now();
    commits_confirmed_ =
        base::milliseconds{heartbeat.confirmed_ms_ago} < options_.unconfirmed_limit;
    const bool newly_vacant = heartbeat.vacant && !vacant_;
    vacant_ = heartbeat.vacant;
    if (newly_vacant) {
        log.keep("lease_vacant", {{"epoch", heartbeat.epoch}, {"successor", heartbeat.successor}});
        handle_vacant_lease(heartbeat);
    }
    return true;
}

void leader_election::handle_vacant_lease(const cluster::leader_heartbeat& heartbeat)
{
    if (heartbeat.successor != options_.self.vm) {
        // The successor tries first.
        next_attempt_at_ = ports_.time->now() + successor_head_start;
        return;
    }
    if (attempt_in_progress_ || left_ || heartbeat.lease_part >= options_.parts.size()) {
        next_attempt_at_ = {};
        return;
    }
    attempt_in_progress_ = true;
    store::lease_record record;
    record.epoch = heartbeat.epoch;
    acquire_lease(heartbeat.lease_part, heartbeat.lease_version, record);
}

void leader_election::step_down(const store::lease_record& found)
{
    leading_ = false;
    epoch_ = std::max(epoch_, found.epoch);
    leader_ = {found.holder, found.holder_born, found.address, {}};
    // Gives the new holder time to send its first heartbeat.
    last_heartbeat_at_ = ports_.time->now();
    vacant_ = false;
    commits_confirmed_ = true;
}

void leader_election::leave()
{
    left_ = true;
    leading_ = false;
}

void leader_election::schedule_tick()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            schedule_tick();
        }
    });
}

bool leader_election::needs_leader() const
{
    const bool no_leader_seen = epoch_ == 0;
    const bool timed_out = leader_silence() >= options_.leader_timeout;
    return no_leader_seen || timed_out || vacant_ || !commits_confirmed_;
}

void leader_election::tick()
{
    if (leading_ || left_ || attempt_in_progress_ || ports_.time->now() < next_attempt_at_ ||
        !needs_leader()) {
        return;
    }
    attempt_in_progress_ = true;
    read_lease(0);
}

} // namespace poplarstile::control
