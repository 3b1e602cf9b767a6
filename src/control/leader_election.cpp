#include "control/leader_election.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leadership"};
constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds retry{200};
/// The low bits of an epoch tell VMs apart.
constexpr std::uint32_t epoch_tag_bits = 16;
constexpr std::uint64_t epoch_tag_mask = (std::uint64_t{1} << epoch_tag_bits) - 1;
/// Time in which the VM that a leaving leader has named takes the lease.
constexpr base::milliseconds successor_head_start{300};
/// Steps between candidates, so that one of them is first.
constexpr base::milliseconds candidate_step{40};

} // namespace

bool better_leader(const cluster::vm_entry& one, const cluster::vm_entry& other)
{
    if (one.processor_millis != other.processor_millis) {
        return one.processor_millis > other.processor_millis;
    }
    return one.vm < other.vm;
}

leader_election::leader_election(leader_election_ports ports, leader_election_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}, heard_at_{ports_.time->now()}
{
}

leader_election::~leader_election()
{
    *alive_ = false;
}

void leader_election::start()
{
    tick();
    tick_later();
}

base::milliseconds leader_election::silence() const
{
    if (leading_) {
        return base::milliseconds{0};
    }
    return std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - heard_at_);
}

bool leader_election::hear(const cluster::leader_heartbeat& beat)
{
    if (beat.epoch < epoch_ || (leading_ && beat.epoch <= epoch_)) {
        return false;
    }
    if (beat.epoch > epoch_ || beat.leader.vm != leader_.vm) {
        log.info(
            "leader_known",
            {{"leader", beat.leader.vm}, {"epoch", beat.epoch}, {"silence_ms", silence().count()}});
    }
    epoch_ = beat.epoch;
    leader_ = beat.leader;
    heard_at_ = ports_.time->now();
    confirmed_lately_ = base::milliseconds{beat.confirmed_ms_ago} < options_.unconfirmed_limit;
    const bool newly_vacant = beat.vacant && !vacant_;
    vacant_ = beat.vacant;
    if (newly_vacant) {
        log.info("lease_vacant", {{"epoch", beat.epoch}, {"successor", beat.successor}});
        succeed(beat);
    }
    return true;
}

void leader_election::succeed(const cluster::leader_heartbeat& beat)
{
    if (beat.successor != options_.self.vm) {
        // The successor gets the first try.
        not_before_ = ports_.time->now() + successor_head_start;
        return;
    }
    if (busy_ || left_ || beat.lease_part >= options_.parts.size()) {
        not_before_ = {};
        return;
    }
    busy_ = true;
    store::lease_record record;
    record.epoch = beat.epoch;
    take_lease(beat.lease_part, beat.lease_version, record);
}

void leader_election::step_down(const store::lease_record& found)
{
    leading_ = false;
    epoch_ = std::max(epoch_, found.epoch);
    leader_ = {found.holder, found.holder_born, found.address, {}};
    // The new holder gets the time to be heard.
    heard_at_ = ports_.time->now();
    vacant_ = false;
    confirmed_lately_ = true;
}

void leader_election::leave()
{
    left_ = true;
    leading_ = false;
}

void leader_election::tick_later()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            tick_later();
        }
    });
}

bool leader_election::wants_to_lead() const
{
    const bool unknown = epoch_ == 0;
    const bool silent = silence() >= options_.leader_silence;
    return unknown || silent || vacant_ || !confirmed_lately_;
}

void leader_election::tick()
{
    if (leading_ || left_ || busy_ || ports_.time->now() < not_before_ || !wants_to_lead()) {
        return;
    }
    busy_ = true;
    read_lease(0);
}

void leader_election::try_again(base::milliseconds delay)
{
    busy_ = false;
    not_before_ = ports_.time->now() + delay;
}

void leader_election::read_lease(std::size_t part)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    ports_.rows->read({lease.table, lease.part, lease.key, store::after_key(lease.key), 1},
                      [this, part, alive = alive_](const store::read_reply& reply) {
                          if (*alive) {
                              take_lease_row(part, reply);
                          }
                      });
}

void leader_election::take_lease_row(std::size_t part, const store::read_reply& reply)
{
    const bool answered = reply.outcome == store::call_outcome::done;
    if (!answered && part + 1 < options_.parts.size()) {
        read_lease(part + 1);
        return;
    }
    if (!answered || left_ || leading_) {
        try_again(retry);
        return;
    }
    if (reply.rows.empty()) {
        take_lease(part, 0, {});
        return;
    }
    const auto& row = reply.rows.front();
    const auto decoded = store::decode_lease(row.value);
    if (!decoded.has_value()) {
        log.error("lease_unreadable", {{"detail", decoded.error().detail}});
        try_again(retry);
        return;
    }
    const auto& record = decoded.value();
    if (row.version != row_version_ || part != row_part_) {
        row_part_ = part;
        row_version_ = row.version;
        row_seen_at_ = ports_.time->now();
    }
    auto round = std::make_shared<canvass>();
    round->record = record;
    round->part = part;
    round->version = row.version;
    if (is_own(record)) {
        // A try of ours took effect though its answer was lost.
        elected(record, part, row.version);
    } else if (record.holder == options_.self.vm) {
        take_lease(part, row.version, record);
    } else {
        ask_others(round);
    }
}

void leader_election::ask_others(const std::shared_ptr<canvass>& round)
{
    std::set<std::string> addresses;
    for (const auto& vm : ports_.vms()) {
        addresses.insert(vm.address);
    }
    if (!round->record.address.empty()) {
        addresses.insert(round->record.address);
    }
    addresses.erase(options_.self.address);
    round->asked = addresses.size();
    round->waiting = addresses.size();
    if (addresses.empty()) {
        conclude(round);
        return;
    }
    for (const auto& address : addresses) {
        ports_.peers->ask(
            address, cluster::hello{options_.self}, options_.ask_timeout,
            [this, round, alive = alive_](const std::optional<cluster::message>& answer) {
                if (!*alive) {
                    return;
                }
                take_answer(*round, answer);
                if (--round->waiting == 0) {
                    conclude(round);
                }
            });
    }
}

void leader_election::take_answer(canvass& round, const std::optional<cluster::message>& answer)
{
    const auto* const told = answer ? std::get_if<cluster::hello_answer>(&*answer) : nullptr;
    if (told == nullptr) {
        return;
    }
    ++round.alive;
    round.before_self += better_leader(told->from, options_.self) ? 1 : 0;
    ports_.on_vm(told->from);
    for (const auto& vm : told->vms) {
        ports_.on_vm(vm);
    }
    const bool hears = told->epoch >= round.record.epoch && told->epoch > 0 &&
                       base::milliseconds{told->leader_seen_ms_ago} < options_.leader_silence;
    round.leader_heard = round.leader_heard || hears;
    if (told->from.vm == round.record.holder &&
        told->from.incarnation != round.record.holder_born) {
        round.holder_reborn = true;
    }
}

bool leader_election::may_take(const canvass& round)
{
    const auto& record = round.record;
    if (record.holder.empty() || round.holder_reborn) {
        return true;
    }
    const auto unchanged = ports_.time->now() - row_seen_at_;
    if (!confirmed_lately_ && silence() < options_.leader_silence) {
        return unchanged >= options_.leader_silence;
    }
    if (round.leader_heard) {
        return false;
    }
    // Half of the VMs, this one counted in, must have lost the leader too.
    const bool majority = 2 * (round.alive + 1) >= round.asked + 1 && round.asked > 0;
    return majority || unchanged >= options_.stalled_row;
}

void leader_election::conclude(const std::shared_ptr<canvass>& round)
{
    const bool still_wanted = !left_ && !leading_ && wants_to_lead();
    const bool take = still_wanted && may_take(*round);
    log.info("canvassed", {{"holder", round->record.holder},
                           {"epoch", round->record.epoch},
                           {"silence_ms", silence().count()},
                           {"asked", round->asked},
                           {"alive", round->alive},
                           {"leader_heard", round->leader_heard},
                           {"holder_reborn", round->holder_reborn},
                           {"outcome", take ? "take" : "wait"}});
    if (!take) {
        if (round->leader_heard && !round->record.address.empty()) {
            // The leader may not know this VM.
            ports_.peers->ask(round->record.address, cluster::hello{options_.self},
                              options_.ask_timeout,
                              [](const std::optional<cluster::message>& /*answer*/) {});
        }
        try_again(retry);
        return;
    }
    const auto delay = candidate_step * static_cast<int>(round->before_self);
    ports_.time->after(delay, [this, round, alive = alive_] {
        if (!*alive) {
            return;
        }
        if (left_ || leading_ || !wants_to_lead()) {
            try_again(retry);
            return;
        }
        take_lease(round->part, round->version, round->record);
    });
}

bool leader_election::is_own(const store::lease_record& record) const
{
    return record.holder == options_.self.vm && record.holder_born == options_.self.incarnation;
}

std::uint64_t leader_election::next_epoch(std::uint64_t found) const
{
    // Two VMs that take different parts at the same moment must not share a fencing token.
    const auto counter = (std::max(found, epoch_) >> epoch_tag_bits) + 1;
    const auto tag =
        XXH64(options_.self.vm.data(), options_.self.vm.size(), options_.self.incarnation);
    return (counter << epoch_tag_bits) | (tag & epoch_tag_mask);
}

void leader_election::take_lease(std::size_t part, store::row_version version,
                                 const store::lease_record& record)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    store::lease_record taken{options_.self.vm, options_.self.incarnation, options_.self.address,
                              next_epoch(record.epoch), 0};
    store::transaction take;
    take.expected.push_back({lease, version});
    take.puts.push_back({lease, store::encode(taken)});
    ports_.rows->commit(std::move(take), [this, part, taken, lease,
                                          alive = alive_](const store::commit_reply& reply) {
        if (!*alive) {
            return;
        }
        if (reply.outcome == store::call_outcome::done) {
            elected(taken, part, reply.version);
            return;
        }
        if (reply.outcome == store::call_outcome::conflict) {
            for (const auto& row : reply.current) {
                const auto found = store::decode_lease(row.value);
                if (row.id == lease && found.has_value() && is_own(found.value())) {
                    elected(found.value(), part, row.version);
                    return;
                }
            }
        }
        log.info("lease_not_taken",
                 {{"epoch", taken.epoch}, {"outcome", static_cast<int>(reply.outcome)}});
        try_again(retry);
    });
}

void leader_election::elected(const store::lease_record& record, std::size_t part,
                              store::row_version version)
{
    busy_ = false;
    if (left_) {
        return;
    }
    leading_ = true;
    vacant_ = false;
    confirmed_lately_ = true;
    epoch_ = record.epoch;
    leader_ = options_.self;
    log.info("elected",
             {{"epoch", epoch_},
              {"silence_ms", base::milliseconds_between(heard_at_, ports_.time->now())}});
    ports_.on_elected(record, part, version);
}

} // namespace poplarstile::control
