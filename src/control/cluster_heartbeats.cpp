#include "base/event_line.hpp"
#include "control/cluster_node.hpp"
#include "control/heartbeat_pacing.hpp"

#include <algorithm>
#include <utility>

/// Sending the leader's heartbeats to the other VMs, and handling a received one.
namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"admission"};
constexpr base::milliseconds heartbeat_timeout{700};
/// Interval of the heartbeats to a VM that doesn't reply.
constexpr base::milliseconds silent_vm_heartbeat_interval{1'000};
constexpr base::milliseconds silent_after{2'000};
/// The loads of the queues are counted anew after this time.
constexpr base::milliseconds loads_interval{200};
/// Callers repeat a submission up to four times and wait 3 s for each answer.
constexpr base::milliseconds longest_repetition{15'000};
/// What a VM sent to the store before it fell silent, or when it resumes, is known by then.
constexpr base::milliseconds settling_time{3'000};

} // namespace

void cluster_node::publish_view(const cluster::job_view& view)
{
    ports_.views->note(view);
    for (auto& [address, peer] : vms_) {
        peer.unsent.insert_or_assign(view.job, view);
    }
    if (batch::is_final(view.status)) {
        schedule_heartbeats();
    }
}

void cluster_node::schedule_heartbeats()
{
    if (heartbeat_scheduled_) {
        return;
    }
    heartbeat_scheduled_ = true;
    ports_.time->after(heartbeat_batch_delay(vms_.size()), [this, alive = alive_] {
        if (*alive) {
            heartbeat_scheduled_ = false;
            send_heartbeats(false);
        }
    });
}

void cluster_node::send_heartbeats(bool due_only)
{
    if (!leader_) {
        return;
    }
    update_listed_vms();
    const auto now = ports_.time->now();
    for (auto& [address, peer] : vms_) {
        const bool silent = now - peer.answered_at > silent_after;
        const auto interval = silent ? silent_vm_heartbeat_interval : heartbeat_interval;
        const bool due = now - peer.heartbeat_at >= interval;
        if (!peer.in_flight && (due || (!due_only && !silent))) {
            send_heartbeat(address, peer);
        }
    }
}

void cluster_node::update_listed_vms()
{
    if (vms_changed_) {
        auto listed = vms();
        listed.push_back(options_.self);
        listed_vms_.set(listed);
        vms_changed_ = false;
    }
}

const std::vector<cluster::queue_load>& cluster_node::current_loads()
{
    const auto now = ports_.time->now();
    if (loads_at_ == base::time_point{} || now - loads_at_ >= loads_interval) {
        loads_ = leader_->loads();
        withhold_shortages(now);
        loads_at_ = now;
    }
    return loads_;
}

void cluster_node::withhold_shortages(base::time_point now)
{
    if (!options_.leader.refuse_hopeless_jobs) {
        return;
    }
    const auto silent = std::ranges::find_if(vms_, [&](const auto& entry) {
        const auto& peer = entry.second;
        const bool answers =
            peer.answered_at >= elected_at_ && now - peer.answered_at <= silent_after;
        const auto since = std::max(peer.answered_at, elected_at_);
        return !answers && !peer.leaving && now - since <= longest_repetition;
    });
    if (silent != vms_.end()) {
        if (now >= shortages_withheld_until_) {
            log.keep("shortages_withheld",
                     {{"vm", silent->second.entry.vm}, {"address", silent->first}});
        }
        shortages_withheld_until_ = now + settling_time;
    }
    if (now < shortages_withheld_until_) {
        for (auto& load : loads_) {
            load.retry_after_s = 0;
            load.shortage.reset();
        }
    }
}

cluster::leader_heartbeat cluster_node::make_heartbeat(peer_state& to)
{
    cluster::leader_heartbeat heartbeat;
    heartbeat.leader = options_.self;
    heartbeat.epoch = leader_->epoch();
    heartbeat.sequence = ++to.sequence;
    heartbeat.snapshot = to.wants_snapshot && leader_->active();
    heartbeat.partial = !leader_->all_parts_loaded();
    if (heartbeat.snapshot) {
        heartbeat.changes = leader_->views();
        // Loads that were counted before all jobs had been read would be taken for whole.
        loads_at_ = {};
    }
    for (const auto& [job, view] : to.unsent) {
        heartbeat.changes.push_back(view);
    }
    heartbeat.loads = current_loads();
    heartbeat.configuration = ports_.configuration->version();
    heartbeat.configuration_ms_ago = configuration_ms_ago();
    heartbeat.confirmed_ms_ago = static_cast<std::uint32_t>(std::max<std::int64_t>(
        base::milliseconds_between(leader_->confirmed_at(), ports_.time->now()), 0));
    heartbeat.vms = listed_vms_.since(to.vms_version);
    heartbeat.vacant = vacant_;
    if (vacant_) {
        heartbeat.successor = successor_;
        heartbeat.lease_version = leader_->lease_version();
        heartbeat.lease_part = static_cast<std::uint32_t>(leader_->first_part());
    }
    return heartbeat;
}

void cluster_node::send_heartbeat(const std::string& address, peer_state& to)
{
    const auto heartbeat = make_heartbeat(to);
    to.in_flight = true;
    to.heartbeat_at = ports_.time->now();
    auto sent_views = std::exchange(to.unsent, {});
    ports_.peers->ask(address, heartbeat, heartbeat_timeout,
                      [this, address, sent_views = std::move(sent_views),
                       snapshot = heartbeat.snapshot, epoch = heartbeat.epoch,
                       alive = alive_](const std::optional<cluster::message>& answer) {
                          if (*alive && leader_ && leader_->epoch() == epoch) {
                              handle_heartbeat_reply(address, sent_views, snapshot, answer);
                          }
                      });
}

void cluster_node::handle_heartbeat_reply(const std::string& address,
                                          std::map<std::string, cluster::job_view> sent_views,
                                          bool snapshot,
                                          const std::optional<cluster::message>& answer)
{
    const auto found = vms_.find(address);
    if (found == vms_.end()) {
        return;
    }
    auto& peer = found->second;
    peer.in_flight = false;
    const auto* const reply = answer ? std::get_if<cluster::heartbeat_reply>(&*answer) : nullptr;
    if (reply == nullptr) {
        // The heartbeat may or may not have arrived: its views are sent again. `merge` keeps the
        // newer status of a job that is already in `unsent`.
        peer.unsent.merge(sent_views);
        return;
    }
    peer.answered_at = ports_.time->now();
    peer.leaving = reply->leaving;
    peer.vms_version = reply->vms_version;
    peer.wants_snapshot = reply->wants_snapshot || (peer.wants_snapshot && !snapshot);
    update_vm(reply->from);
    if (reply->configuration > ports_.configuration->version()) {
        request_configuration(address);
    }
    if (!peer.unsent.empty()) {
        schedule_heartbeats();
    }
}

cluster::message cluster_node::handle_heartbeat(const cluster::leader_heartbeat& received)
{
    update_vm(received.leader);
    cluster::heartbeat_reply answer;
    answer.from = options_.self;
    const bool accepted = election_->receive_heartbeat(received);
    if (accepted) {
        answer.wants_snapshot = !ports_.views->apply_heartbeat(received);
        if (received_vms_.apply(received.epoch, received.vms)) {
            for (const auto& vm : received.vms.added) {
                update_vm(vm);
            }
        }
        const auto found = vms_.find(received.leader.address);
        if (found != vms_.end()) {
            found->second.answered_at = ports_.time->now();
        }
        forget_unlisted_vms();
    }
    answer.vms_version = received_vms_.version(received.epoch);
    answer.epoch = election_->epoch();
    answer.leaving = left_;
    answer.configuration = ports_.configuration->version();
    if (received.configuration > ports_.configuration->version()) {
        request_configuration(received.leader.address);
    } else if (received.configuration == ports_.configuration->version()) {
        ports_.configuration->receive_from_peer(ports_.configuration->stored(),
                                                base::milliseconds{received.configuration_ms_ago});
    }
    return answer;
}

} // namespace poplarstile::control
