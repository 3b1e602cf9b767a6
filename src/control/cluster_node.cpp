#include "control/cluster_node.hpp"

#include "base/event_line.hpp"

#include <algorithm>
#include <utility>

namespace poplarstile::control
{
namespace
{

constexpr base::event_logger log{"cluster"};
constexpr base::milliseconds tick_interval{100};
/// A VM that has not replied to the leader for this long is removed from the leader's list of known
/// VMs, and one that the leader has not listed for this long from those of the others.
constexpr base::milliseconds forget_after{90'000};
constexpr base::milliseconds hello_timeout{400};
constexpr base::milliseconds hello_interval{500};
constexpr base::milliseconds configuration_timeout{600};
/// Bounds the memory that false entries can take.
constexpr std::size_t max_vms = 4'096;
/// A VM is chosen as successor only if it replied within this time.
constexpr base::milliseconds max_successor_silence{900};
/// A new leader waits this long before it looks for a larger VM to lead.
constexpr base::milliseconds min_term_before_yield{1'000};
/// The lease is only handed over if the store confirmed a commit within this time.
constexpr base::milliseconds max_commit_age_before_yield{500};
/// The lease is handed over to a VM with at least this many times the capacity for leading.
constexpr std::uint32_t yield_capacity_ratio = 2;

} // namespace

cluster_node::cluster_node(cluster_node_ports ports, cluster_node_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}
{
    for (const auto& seed : options_.seeds) {
        if (seed != options_.self.address) {
            update_vm({{}, 0, seed, {}});
        }
    }
    leader_election_ports election;
    election.rows = ports_.rows;
    election.peers = ports_.peers;
    election.time = ports_.time;
    election.vms = [this] { return vms(); };
    election.on_elected = [this](const store::lease_record& lease, std::size_t part,
                                 store::row_version version) {
        start_leading(lease, part, version);
    };
    election.on_vm_seen = [this](const cluster::vm_entry& vm) { update_vm(vm); };
    election_ = std::make_unique<leader_election>(std::move(election), options_.election);
}

cluster_node::~cluster_node()
{
    *alive_ = false;
}

void cluster_node::start()
{
    send_hellos();
    election_->start();
    schedule_tick();
}

void cluster_node::update_vm(const cluster::vm_entry& vm)
{
    if (vm.address.empty() || vm.address == options_.self.address) {
        return;
    }
    if (vms_.size() >= max_vms && !vms_.contains(vm.address)) {
        log.error("vm_not_added", {{"peer", vm.vm}, {"address", vm.address}, {"most", max_vms}});
        return;
    }
    auto& peer = vms_[vm.address];
    if (!vm.vm.empty() && (peer.entry.vm != vm.vm || peer.entry.incarnation != vm.incarnation)) {
        log.info("vm_known", {{"peer", vm.vm}, {"address", vm.address}, {"life", vm.incarnation}});
        peer.entry = vm;
        peer.vms_version = 0;
        peer.wants_snapshot = true;
        vms_changed_ = true;
        peer.answered_at = ports_.time->now();
    }
    if (peer.entry.address.empty()) {
        peer.entry.address = vm.address;
        vms_changed_ = true;
    }
    if (peer.answered_at == base::time_point{}) {
        peer.answered_at = ports_.time->now();
    }
}

void cluster_node::send_hellos()
{
    // While no leader sends heartbeats, every known VM is asked for it.
    if (left_ || election_->leading()) {
        return;
    }
    const bool leader_silent =
        election_->leader_silence() > hello_interval || election_->epoch() == 0;
    if (leader_silent) {
        for (const auto& vm : vms()) {
            ports_.peers->ask(
                vm.address, cluster::hello{options_.self}, hello_timeout,
                [this, alive = alive_](const std::optional<cluster::message>& response) {
                    if (!*alive || !response) {
                        return;
                    }
                    if (const auto* const hello = std::get_if<cluster::hello_answer>(&*response)) {
                        update_vm(hello->from);
                        update_vm(hello->leader);
                        for (const auto& other : hello->vms) {
                            update_vm(other);
                        }
                        if (hello->configuration > ports_.configuration->version()) {
                            request_configuration(hello->from.address);
                        }
                    }
                });
        }
    }
    ports_.time->after(hello_interval, [this, alive = alive_] {
        if (*alive) {
            send_hellos();
        }
    });
}

std::vector<cluster::vm_entry> cluster_node::vms() const
{
    std::vector<cluster::vm_entry> entries;
    entries.reserve(vms_.size());
    for (const auto& [address, peer] : vms_) {
        entries.push_back(peer.entry);
    }
    return entries;
}

std::vector<std::string> cluster_node::relay_addresses() const
{
    std::vector<std::pair<base::time_point, std::string>> by_last_reply;
    for (const auto& [address, vm] : vms_) {
        by_last_reply.emplace_back(vm.answered_at, address);
    }
    std::ranges::sort(by_last_reply, std::ranges::greater{});
    std::vector<std::string> addresses;
    addresses.reserve(by_last_reply.size());
    for (auto& [replied_at, address] : by_last_reply) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

void cluster_node::start_leading(const store::lease_record& lease, std::size_t part,
                                 store::row_version version)
{
    leader_ports ports;
    ports.rows = ports_.rows;
    ports.directory = ports_.directory;
    ports.orders = ports_.orders;
    ports.time = ports_.time;
    ports.catalog = [this] { return ports_.configuration->current(); };
    ports.on_status = [this](const cluster::job_view& view) { publish_view(view); };
    ports.on_span = ports_.on_span;
    ports.on_lost = [this](const store::lease_record& found) { schedule_step_down(found); };
    leader_ = std::make_unique<leader>(std::move(ports), options_.leader, lease, part, version,
                                       election_->acquisition_sent());
    for (auto& [address, peer] : vms_) {
        peer.wants_snapshot = true;
        peer.unsent.clear();
        peer.sequence = 0;
        peer.vms_version = 0;
        peer.in_flight = false;
    }
    loads_at_ = {};
    vacant_ = false;
    yielding_ = false;
    views_complete_.reset();
    successor_.clear();
    elected_at_ = ports_.time->now();
    leader_->start();
    send_heartbeats(false);
}

void cluster_node::schedule_step_down(const store::lease_record& found)
{
    // Deferred because the leader that is destroyed here may be on the call stack.
    ports_.time->after(base::milliseconds{0}, [this, found, alive = alive_] {
        if (*alive) {
            leader_.reset();
            election_->step_down(found);
        }
    });
}

void cluster_node::schedule_tick()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            schedule_tick();
        }
    });
}

void cluster_node::tick()
{
    if (leader_) {
        if (leader_->active()) {
            update_local_views();
        }
        send_heartbeats(true);
        yield_to_larger_vm();
        forget_silent_vms();
    }
}

void cluster_node::forget_silent_vms()
{
    // Before its term this VM expected no replies.
    const auto forgotten = std::erase_if(vms_, [this](const auto& entry) {
        const auto since = std::max(entry.second.answered_at, elected_at_);
        return ports_.time->now() - since > forget_after;
    });
    vms_changed_ = vms_changed_ || forgotten > 0;
}

void cluster_node::forget_unlisted_vms()
{
    const auto now = ports_.time->now();
    for (const auto& [address, vm] : received_vms_.vms()) {
        const auto found = vms_.find(address);
        if (found != vms_.end()) {
            found->second.listed_at = now;
        }
    }
    const auto forgotten = std::erase_if(vms_, [now](const auto& entry) {
        const auto& peer = entry.second;
        return now - std::max(peer.listed_at, peer.answered_at) > forget_after;
    });
    vms_changed_ = vms_changed_ || forgotten > 0;
}

void cluster_node::update_local_views()
{
    const bool whole = leader_->all_parts_loaded();
    if (views_complete_ != whole) {
        ports_.views->replace_open_jobs(leader_->views(), whole);
        views_complete_ = whole;
        loads_at_ = {};
    }
    ports_.views->set_loads(current_loads(), whole);
}

void cluster_node::request_configuration(const std::string& address)
{
    if (configuration_requested_ || address.empty()) {
        return;
    }
    configuration_requested_ = true;
    const auto asked = ports_.time->now();
    ports_.peers->ask(
        address, cluster::configuration_request{ports_.configuration->version()},
        configuration_timeout,
        [this, asked, alive = alive_](const std::optional<cluster::message>& response) {
            if (!*alive) {
                return;
            }
            configuration_requested_ = false;
            const auto* const reply =
                response ? std::get_if<cluster::configuration_reply>(&*response) : nullptr;
            if (reply == nullptr) {
                return;
            }
            const auto elapsed =
                std::chrono::duration_cast<base::milliseconds>(ports_.time->now() - asked);
            ports_.configuration->receive_from_peer(
                {reply->version, reply->document},
                elapsed + base::milliseconds{reply->confirmed_ms_ago});
        });
}

cluster::hello_answer cluster_node::make_hello_answer() const
{
    cluster::hello_answer answer;
    answer.from = options_.self;
    answer.leader = election_->leader();
    answer.epoch = election_->epoch();
    answer.leader_seen_ms_ago = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(election_->leader_silence().count(), 0, 1'000'000));
    answer.vms = vms();
    answer.configuration = ports_.configuration->version();
    return answer;
}

cluster::message cluster_node::make_acknowledgement() const
{
    return cluster::heartbeat_reply{options_.self, election_->epoch(), false,
                                    ports_.configuration->version(), left_};
}

void cluster_node::receive(const cluster::message& message,
                           std::function<void(std::optional<cluster::message>)> answer)
{
    if (const auto* const heartbeat = std::get_if<cluster::leader_heartbeat>(&message)) {
        answer(handle_heartbeat(*heartbeat));
    } else if (const auto* const hello = std::get_if<cluster::hello>(&message)) {
        update_vm(hello->from);
        answer(make_hello_answer());
    } else if (const auto* const asked = std::get_if<cluster::configuration_request>(&message)) {
        const auto& stored = ports_.configuration->stored();
        cluster::configuration_reply reply;
        reply.version = stored.version;
        reply.document = stored.version > asked->known_version ? stored.document : std::string{};
        reply.confirmed_ms_ago = configuration_ms_ago();
        answer(cluster::message{std::move(reply)});
    } else if (const auto* const submission =
                   std::get_if<cluster::uncertain_submission>(&message)) {
        ports_.on_uncertain_submission(submission->job);
        answer(make_acknowledgement());
    } else if (const auto* const reported = std::get_if<cluster::stored_row>(&message)) {
        if (leader_) {
            leader_->receive_row(
                {{"jobs", reported->part, reported->key}, reported->value, reported->version});
        }
        answer(make_acknowledgement());
    } else if (const auto* const call = std::get_if<cluster::store_call>(&message)) {
        ports_.relay(*call, [answer = std::move(answer)](cluster::store_answer made) {
            answer(cluster::message{std::move(made)});
        });
    } else {
        answer(std::nullopt);
    }
}

std::uint32_t cluster_node::configuration_ms_ago() const
{
    constexpr std::int64_t max_age_ms = 1'000'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ports_.configuration->age().count(), 0, max_age_ms));
}

void cluster_node::report_uncertain_submission(const std::string& job)
{
    for (const auto& [address, peer] : vms_) {
        ports_.peers->ask(address, cluster::uncertain_submission{job}, hello_timeout,
                          [](const std::optional<cluster::message>& /*answer*/) {});
    }
}

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
    log.info("handed_back", {{"epoch", leader_->epoch()}, {"successor", successor_}});
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
    log.info("yielding", {{"epoch", leader_->epoch()},
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

void cluster_node::report_stored_row(const store::row& stored)
{
    if (leader_) {
        leader_->receive_row(stored);
        return;
    }
    const auto& address = election_->leader().address;
    if (!address.empty()) {
        // The store's feed delivers the row in any case, so the reply is ignored.
        ports_.peers->ask(
            address,
            cluster::stored_row{stored.id.part, stored.id.key, stored.value, stored.version},
            hello_timeout, [](const std::optional<cluster::message>& /*answer*/) {});
    }
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
