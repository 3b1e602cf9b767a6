#include "control/leader_election.hpp"

#include "base/event_line.hpp"
#include "store/row_keys.hpp"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

/// An attempt to take the lease: reading it, asking the other VMs whether they hear its holder, and
/// acquiring it.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"leadership"};
constexpr base::milliseconds retry_interval{200};
/// The low bits of an epoch are a tag that distinguishes VMs.
constexpr std::uint32_t epoch_tag_bits = 16;
constexpr std::uint64_t epoch_tag_mask = (std::uint64_t{1} << epoch_tag_bits) - 1;
/// Delay between the attempts of successive candidates, so that they don't try at the same time.
constexpr base::milliseconds candidate_delay_step{40};

} // namespace

void leader_election::retry_after(base::milliseconds delay)
{
    attempt_in_progress_ = false;
    next_attempt_at_ = ports_.time->now() + delay;
}

void leader_election::read_lease(std::size_t part)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    ports_.rows->read(
        {lease.table, lease.part, lease.key, store::after_key(lease.key), 1},
        [this, part, sent = ports_.time->now(), alive = alive_](const store::read_reply& reply) {
            if (*alive) {
                handle_lease_row(part, sent, reply);
            }
        });
}

void leader_election::handle_lease_row(std::size_t part, base::time_point sent,
                                       const store::read_reply& reply)
{
    const bool answered = reply.outcome == store::call_outcome::done;
    if (!answered && part + 1 < options_.parts.size()) {
        read_lease(part + 1);
        return;
    }
    if (!answered || left_ || leading_) {
        retry_after(retry_interval);
        return;
    }
    if (reply.rows.empty()) {
        acquire_lease(part, 0, {});
        return;
    }
    const auto& row = reply.rows.front();
    const auto decoded = store::decode_lease(row.value);
    if (!decoded.has_value()) {
        ++unreadable_leases_;
        log.error("lease_unreadable",
                  {{"store_part", options_.parts.name(part)}, {"detail", decoded.error().detail}});
        // Whoever takes the lease of another part writes this one anew.
        if (part + 1 < options_.parts.size()) {
            read_lease(part + 1);
        } else {
            retry_after(retry_interval);
        }
        return;
    }
    const auto& record = decoded.value();
    if (row.version != row_version_ || part != row_part_) {
        row_part_ = part;
        row_version_ = row.version;
        row_unchanged_since_ = ports_.time->now();
    }
    auto round = std::make_shared<election_round>();
    round->record = record;
    round->part = part;
    round->version = row.version;
    if (is_own(record) && record.epoch > epoch_) {
        // An earlier attempt of this VM took effect although its reply was lost. The term of an own
        // lease whose epoch is not the greatest known has ended or never began.
        become_leader(record, part, row.version, sent);
    } else if (record.holder == options_.self.vm && !is_own(record)) {
        acquire_lease(part, row.version, record);
    } else {
        query_peers(round);
    }
}

void leader_election::query_peers(const std::shared_ptr<election_round>& round)
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
    round->pending_replies = addresses.size();
    if (addresses.empty()) {
        finish_round(round);
        return;
    }
    for (const auto& address : addresses) {
        ports_.peers->ask(
            address, cluster::hello{options_.self}, options_.ask_timeout,
            [this, round, alive = alive_](const std::optional<cluster::message>& answer) {
                if (!*alive) {
                    return;
                }
                handle_hello_answer(*round, answer);
                if (--round->pending_replies == 0) {
                    finish_round(round);
                }
            });
    }
}

void leader_election::handle_hello_answer(election_round& round,
                                          const std::optional<cluster::message>& answer)
{
    const auto* const response = answer ? std::get_if<cluster::hello_answer>(&*answer) : nullptr;
    if (response == nullptr) {
        return;
    }
    ++round.responding;
    round.better_candidates += is_better_leader(response->from, options_.self) ? 1 : 0;
    ports_.on_vm_seen(response->from);
    for (const auto& vm : response->vms) {
        ports_.on_vm_seen(vm);
    }
    const bool has_leader =
        response->epoch >= std::max(round.record.epoch, epoch_) && response->epoch > 0 &&
        base::milliseconds{response->leader_seen_ms_ago} < options_.leader_timeout;
    round.leader_reachable = round.leader_reachable || has_leader;
    if (response->from.vm == round.record.holder &&
        response->from.incarnation != round.record.holder_born) {
        round.holder_restarted = true;
    }
}

bool leader_election::may_take_lease(const election_round& round)
{
    const auto& record = round.record;
    if (record.holder.empty() || round.holder_restarted) {
        return true;
    }
    const auto unchanged = ports_.time->now() - row_unchanged_since_;
    if (!commits_confirmed_ && leader_silence() < options_.leader_timeout) {
        return unchanged >= options_.leader_timeout;
    }
    if (round.leader_reachable) {
        return false;
    }
    // At least half of the VMs, including this one, must have replied, and none of them may still
    // receive the leader's heartbeats.
    const bool majority = 2 * (round.responding + 1) >= round.asked + 1 && round.asked > 0;
    return majority || unchanged >= options_.stalled_lease_timeout;
}

void leader_election::finish_round(const std::shared_ptr<election_round>& round)
{
    const bool still_wanted = !left_ && !leading_ && needs_leader();
    const bool take = still_wanted && may_take_lease(*round);
    log.info("canvassed", {{"holder", round->record.holder},
                           {"epoch", round->record.epoch},
                           {"silence_ms", leader_silence().count()},
                           {"asked", round->asked},
                           {"alive", round->responding},
                           {"leader_heard", round->leader_reachable},
                           {"holder_reborn", round->holder_restarted},
                           {"outcome", take ? "take" : "wait"}});
    if (!take) {
        if (round->leader_reachable && !round->record.address.empty()) {
            // The leader may not know this VM and so send it no heartbeats.
            ports_.peers->ask(round->record.address, cluster::hello{options_.self},
                              options_.ask_timeout,
                              [](const std::optional<cluster::message>& /*answer*/) {});
        }
        retry_after(retry_interval);
        return;
    }
    const auto delay = candidate_delay_step * static_cast<int>(round->better_candidates);
    ports_.time->after(delay, [this, round, alive = alive_] {
        if (!*alive) {
            return;
        }
        if (left_ || leading_ || !needs_leader()) {
            retry_after(retry_interval);
            return;
        }
        acquire_lease(round->part, round->version, round->record);
    });
}

bool leader_election::is_own(const store::lease_record& record) const
{
    return record.holder == options_.self.vm && record.holder_born == options_.self.incarnation;
}

std::uint64_t leader_election::next_epoch(std::uint64_t found) const
{
    // Two VMs that take the leases of different parts at the same time must not get the same
    // fencing token.
    const auto counter = (std::max(found, epoch_) >> epoch_tag_bits) + 1;
    const auto tag =
        XXH64(options_.self.vm.data(), options_.self.vm.size(), options_.self.incarnation);
    return (counter << epoch_tag_bits) | (tag & epoch_tag_mask);
}

void leader_election::acquire_lease(std::size_t part, store::row_version version,
                                    const store::lease_record& record)
{
    const auto lease = store::lease_row(options_.parts.name(part));
    store::lease_record taken{options_.self.vm, options_.self.incarnation, options_.self.address,
                              next_epoch(record.epoch), 0};
    store::transaction take;
    take.expected.push_back({lease, version});
    take.puts.push_back({lease, store::encode(taken)});
    ports_.rows->commit(std::move(take), [this, part, taken, lease, sent = ports_.time->now(),
                                          alive = alive_](const store::commit_reply& reply) {
        if (!*alive) {
            return;
        }
        if (reply.outcome == store::call_outcome::done && taken.epoch > epoch_) {
            become_leader(taken, part, reply.version, sent);
            return;
        }
        if (reply.outcome == store::call_outcome::conflict) {
            for (const auto& row : reply.current) {
                const auto found = store::decode_lease(row.value);
                if (row.id == lease && found.has_value() && is_own(found.value()) &&
                    found.value().epoch > epoch_) {
                    become_leader(found.value(), part, row.version, sent);
                    return;
                }
            }
        }
        log.info("lease_not_taken",
                 {{"epoch", taken.epoch}, {"outcome", static_cast<int>(reply.outcome)}});
        retry_after(retry_interval);
    });
}

void leader_election::become_leader(const store::lease_record& record, std::size_t part,
                                    store::row_version version, base::time_point sent)
{
    attempt_in_progress_ = false;
    if (left_) {
        return;
    }
    leading_ = true;
    vacant_ = false;
    commits_confirmed_ = true;
    epoch_ = record.epoch;
    acquisition_sent_ = sent;
    leader_ = options_.self;
    log.keep("elected",
             {{"epoch", epoch_},
              {"silence_ms", base::milliseconds_between(last_heartbeat_at_, ports_.time->now())}});
    ports_.on_elected(record, part, version);
}

} // namespace poplarstile::control
