#include "control/cluster_node.hpp"

#include "base/event_line.hpp"

#include <utility>

/// Handing the lease over to another VM: to a larger one, or when this VM shuts down.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"cluster"};
/// A VM is chosen as successor only if it replied within this time.
constexpr base::milliseconds max_successor_silence{900};
/// A new leader waits this long before it looks for a larger VM to lead.
constexpr base::milliseconds min_term_before_yield{1'000};
/// The lease is only handed over if the store confirmed a commit within this time.
constexpr base::milliseconds max_commit_age_before_yield{500};
/// The lease is handed over to a VM with at least this many times the capacity for leading.
constexpr std::uint32_t yield_capacity_ratio = 2;

} // namespace

const cluster_node::peer_state* cluster_node::choose_successor() const
{
    const auto now = ports_.time->now();
    const peer_state* best = nullptr;
    const auto rank = [](const peer_state& vm) {
        // Of VMs of equal size the newest incarnation: a rolling restart has already passed it.
        return std::pair{leading_capacity(vm.entry), vm.entry.incarnation};
    };
    for (const auto& [address, peer] : vms_) {
        const bool replied = now - peer.answered_at <= max_successor_silence;
        const bool eligible = replied && !peer.leaving && !peer.entry.vm.empty();
        if (eligible && (best == nullptr || rank(peer) > rank(*best))) {
            best = &peer;
        }
    }
    return best;
}

void cluster_node::announce_vacancy()
{
    const auto* const next = choose_successor();
    vacant_ = true;
    successor_ = next == nullptr ? std::string{} : next->entry.vm;
    log.keep("handed_back", {{"epoch", leader_->epoch()}, {"successor", successor_}});
    for (auto& [address, peer] : vms_) {
        send_heartbeat(address, peer);
    }
}

void cluster_node::yield_to_larger_vm()
{
    const auto now = ports_.time->now();
    const bool stable = leader_->active() && leader_->all_parts_loaded() &&
                        now - elected_at_ >= min_term_before_yield &&
                        now - leader_->confirmed_at() < max_commit_age_before_yield;
    if (!stable || left_ || yielding_) {
        return;
    }
    const auto* const next = choose_successor();
    const auto own = leading_capacity(options_.self);
    if (next == nullptr || leading_capacity(next->entry) < yield_capacity_ratio * own) {
        return;
    }
    yielding_ = true;
    log.keep("yielding", {{"epoch", leader_->epoch()},
                          {"to", next->entry.vm},
                          {"its_processor_millis", next->entry.processor_millis},
                          {"its_link_kbit", next->entry.link_kbit},
                          {"own_processor_millis", options_.self.processor_millis},
                          {"own_link_kbit", options_.self.link_kbit}});
    leader_->hand_back([this, alive = alive_] {
        if (*alive) {
            finish_yield();
        }
    });
}

void cluster_node::finish_yield()
{
    announce_vacancy();
    store::lease_record vacated;
    vacated.epoch = leader_->epoch();
    schedule_step_down(vacated);
}

void cluster_node::leave(std::function<void()> on_done)
{
    left_ = true;
    election_->leave();
    if (!leader_) {
        on_done();
        return;
    }
    leader_->hand_back([this, on_done = std::move(on_done), alive = alive_] {
        if (!*alive) {
            return;
        }
        announce_vacancy();
        on_done();
    });
}

} // namespace poplarstile::control
