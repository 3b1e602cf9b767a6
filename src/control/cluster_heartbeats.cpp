#include "control/cluster_node.hpp"

#include <algorithm>
#include <utility>

/// The leader's beats to the other VMs, and what a VM makes of one.
namespace poplarstile::control
{
namespace
{

constexpr base::milliseconds beat_interval{300};
/// Changes that come close together go with one beat.
constexpr base::milliseconds beat_gather{10};
constexpr base::milliseconds beat_timeout{700};
/// Beats to a VM that does not answer are this far apart.
constexpr base::milliseconds silent_beat_interval{1'000};
constexpr base::milliseconds silent_after{2'000};

} // namespace

void cluster_node::spread(const cluster::job_view& view)
{
    ports_.views->note(view);
    for (auto& [address, known] : vms_) {
        known.unsent.insert_or_assign(view.job, view);
    }
    if (batch::is_final(view.status)) {
        beat_soon();
    }
}

void cluster_node::beat_soon()
{
    if (beat_scheduled_) {
        return;
    }
    beat_scheduled_ = true;
    ports_.time->after(beat_gather, [this, alive = alive_] {
        if (*alive) {
            beat_scheduled_ = false;
            beat_all(false);
        }
    });
}

void cluster_node::beat_all(bool due_only)
{
    if (!leader_) {
        return;
    }
    const auto now = ports_.time->now();
    for (auto& [address, known] : vms_) {
        const bool silent = now - known.answered_at > silent_after;
        const auto interval = silent ? silent_beat_interval : beat_interval;
        const bool due = now - known.beat_at >= interval;
        if (!known.under_way && (due || (!due_only && !silent))) {
            beat(address, known);
        }
    }
}

cluster::leader_heartbeat cluster_node::make_beat(neighbour& to)
{
    cluster::leader_heartbeat made;
    made.leader = options_.self;
    made.epoch = leader_->epoch();
    made.sequence = ++to.sequence;
    made.snapshot = to.wants_snapshot && leader_->active();
    made.partial = !leader_->all_parts_loaded();
    if (made.snapshot) {
        made.changes = leader_->views();
    }
    for (const auto& [job, view] : to.unsent) {
        made.changes.push_back(view);
    }
    made.loads = leader_->loads();
    made.configuration = ports_.configuration->version();
    made.configuration_ms_ago = configuration_ms_ago();
    made.confirmed_ms_ago = static_cast<std::uint32_t>(std::max<std::int64_t>(
        base::milliseconds_between(leader_->confirmed_at(), ports_.time->now()), 0));
    made.vms = vms();
    made.vms.push_back(options_.self);
    made.vacant = vacant_;
    if (vacant_) {
        made.successor = successor_;
        made.lease_version = leader_->lease_version();
        made.lease_part = static_cast<std::uint32_t>(leader_->first_part());
    }
    return made;
}

void cluster_node::beat(const std::string& address, neighbour& to)
{
    const auto made = make_beat(to);
    to.under_way = true;
    to.beat_at = ports_.time->now();
    auto carried = std::exchange(to.unsent, {});
    ports_.peers->ask(address, made, beat_timeout,
                      [this, address, carried = std::move(carried), snapshot = made.snapshot,
                       epoch = made.epoch,
                       alive = alive_](const std::optional<cluster::message>& answer) {
                          if (*alive && leader_ && leader_->epoch() == epoch) {
                              take_beat_answer(address, carried, snapshot, answer);
                          }
                      });
}

void cluster_node::take_beat_answer(const std::string& address,
                                    std::map<std::string, cluster::job_view> carried, bool snapshot,
                                    const std::optional<cluster::message>& answer)
{
    const auto found = vms_.find(address);
    if (found == vms_.end()) {
        return;
    }
    auto& known = found->second;
    known.under_way = false;
    const auto* const told = answer ? std::get_if<cluster::heartbeat_reply>(&*answer) : nullptr;
    if (told == nullptr) {
        // It may have arrived or not: what it carried goes again, newer statuses first.
        known.unsent.merge(carried);
        return;
    }
    known.answered_at = ports_.time->now();
    known.leaving = told->leaving;
    known.wants_snapshot = told->wants_snapshot || (known.wants_snapshot && !snapshot);
    know(told->from);
    if (told->configuration > ports_.configuration->version()) {
        ask_configuration(address);
    }
    if (!known.unsent.empty()) {
        beat_soon();
    }
}

cluster::message cluster_node::answer_beat(const cluster::leader_heartbeat& beat)
{
    know(beat.leader);
    cluster::heartbeat_reply answer;
    answer.from = options_.self;
    const bool followed = leadership_->receive_heartbeat(beat);
    if (followed) {
        answer.wants_snapshot = !ports_.views->apply_heartbeat(beat);
        for (const auto& vm : beat.vms) {
            know(vm);
        }
        const auto found = vms_.find(beat.leader.address);
        if (found != vms_.end()) {
            found->second.answered_at = ports_.time->now();
        }
    }
    answer.epoch = leadership_->epoch();
    answer.leaving = left_;
    answer.configuration = ports_.configuration->version();
    if (beat.configuration > ports_.configuration->version()) {
        ask_configuration(beat.leader.address);
    } else if (beat.configuration == ports_.configuration->version()) {
        ports_.configuration->receive_from_peer(ports_.configuration->stored(),
                                                base::milliseconds{beat.configuration_ms_ago});
    }
    return answer;
}

} // namespace poplarstile::control
