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
/// A VM that has not answered for this long is forgotten.
constexpr base::milliseconds forget_after{90'000};
constexpr base::milliseconds hello_timeout{400};
constexpr base::milliseconds greet_interval{500};
constexpr base::milliseconds configuration_timeout{600};
constexpr std::size_t most_vms = 256;
/// A VM that takes a lease over has answered within this time.
constexpr base::milliseconds successor_heard_within{900};
/// A new leader settles before it looks for a stronger one.
constexpr base::milliseconds yield_after{1'000};
/// The store must answer while the lease changes hands.
constexpr base::milliseconds yield_confirmed_within{500};
/// How many times more processor is worth a change of leader.
constexpr std::uint32_t yield_ratio = 2;

} // namespace

cluster_node::cluster_node(cluster_node_ports ports, cluster_node_options options)
    : ports_{std::move(ports)}, options_{std::move(options)}
{
    for (const auto& seed : options_.seeds) {
        if (seed != options_.self.address) {
            know({{}, 0, seed, {}});
        }
    }
    leader_election_ports election;
    election.rows = ports_.rows;
    election.peers = ports_.peers;
    election.time = ports_.time;
    election.vms = [this] { return vms(); };
    election.on_elected = [this](const store::lease_record& lease, std::size_t part,
                                 store::row_version version) { elected(lease, part, version); };
    election.on_vm_seen = [this](const cluster::vm_entry& vm) { know(vm); };
    leadership_ = std::make_unique<leader_election>(std::move(election), options_.election);
}

cluster_node::~cluster_node()
{
    *alive_ = false;
}

void cluster_node::start()
{
    greet_seeds();
    leadership_->start();
    tick_later();
}

void cluster_node::know(const cluster::vm_entry& vm)
{
    if (vm.address.empty() || vm.address == options_.self.address || vms_.size() >= most_vms) {
        return;
    }
    auto& known = vms_[vm.address];
    if (!vm.vm.empty() && (known.entry.vm != vm.vm || known.entry.incarnation != vm.incarnation)) {
        log.info("vm_known", {{"peer", vm.vm}, {"address", vm.address}, {"life", vm.incarnation}});
        known.entry = vm;
        known.wants_snapshot = true;
        known.answered_at = ports_.time->now();
    }
    known.entry.address = vm.address;
    if (known.answered_at == base::time_point{}) {
        known.answered_at = ports_.time->now();
    }
}

void cluster_node::greet_seeds()
{
    // Until the leader is heard, everybody known is asked for it.
    if (left_ || leadership_->leading()) {
        return;
    }
    const bool lost_touch =
        leadership_->leader_silence() > greet_interval || leadership_->epoch() == 0;
    if (lost_touch) {
        for (const auto& vm : vms()) {
            ports_.peers->ask(vm.address, cluster::hello{options_.self}, hello_timeout,
                              [this, alive = alive_](const std::optional<cluster::message>& told) {
                                  if (!*alive || !told) {
                                      return;
                                  }
                                  if (const auto* const hello =
                                          std::get_if<cluster::hello_answer>(&*told)) {
                                      know(hello->from);
                                      know(hello->leader);
                                      for (const auto& other : hello->vms) {
                                          know(other);
                                      }
                                      if (hello->configuration > ports_.configuration->version()) {
                                          ask_configuration(hello->from.address);
                                      }
                                  }
                              });
        }
    }
    ports_.time->after(greet_interval, [this, alive = alive_] {
        if (*alive) {
            greet_seeds();
        }
    });
}

std::vector<cluster::vm_entry> cluster_node::vms() const
{
    std::vector<cluster::vm_entry> entries;
    entries.reserve(vms_.size());
    for (const auto& [address, known] : vms_) {
        entries.push_back(known.entry);
    }
    return entries;
}

std::vector<std::string> cluster_node::relay_addresses() const
{
    std::vector<std::pair<base::time_point, std::string>> known;
    for (const auto& [address, vm] : vms_) {
        known.emplace_back(vm.answered_at, address);
    }
    std::ranges::sort(known, std::ranges::greater{});
    std::vector<std::string> addresses;
    addresses.reserve(known.size());
    for (auto& [when, address] : known) {
        addresses.push_back(std::move(address));
    }
    return addresses;
}

void cluster_node::elected(const store::lease_record& lease, std::size_t part,
                           store::row_version version)
{
    leader_ports ports;
    ports.rows = ports_.rows;
    ports.directory = ports_.directory;
    ports.orders = ports_.orders;
    ports.time = ports_.time;
    ports.catalog = [this] { return ports_.configuration->current(); };
    ports.on_status = [this](const cluster::job_view& view) { spread(view); };
    ports.on_span = ports_.on_span;
    ports.on_lost = [this](const store::lease_record& found) { lost(found); };
    leader_ = std::make_unique<leader>(std::move(ports), options_.leader, lease, part, version);
    for (auto& [address, known] : vms_) {
        known.wants_snapshot = true;
        known.unsent.clear();
        known.sequence = 0;
        known.under_way = false;
    }
    vacant_ = false;
    yielding_ = false;
    views_taken_whole_.reset();
    successor_.clear();
    elected_at_ = ports_.time->now();
    leader_->start();
    beat_all(false);
}

void cluster_node::lost(const store::lease_record& found)
{
    // The leader is somewhere up the call stack.
    ports_.time->after(base::milliseconds{0}, [this, found, alive = alive_] {
        if (*alive) {
            leader_.reset();
            leadership_->step_down(found);
        }
    });
}

void cluster_node::tick_later()
{
    ports_.time->after(tick_interval, [this, alive = alive_] {
        if (*alive) {
            tick();
            tick_later();
        }
    });
}

void cluster_node::tick()
{
    const auto now = ports_.time->now();
    if (leader_) {
        if (leader_->active()) {
            show_own_views();
        }
        beat_all(true);
        yield_to_stronger();
        std::erase_if(vms_, [now](const auto& entry) {
            return now - entry.second.answered_at > forget_after;
        });
    }
}

void cluster_node::show_own_views()
{
    const bool whole = leader_->all_parts_loaded();
    if (views_taken_whole_ != whole) {
        ports_.views->replace_open_jobs(leader_->views(), whole);
        views_taken_whole_ = whole;
    }
    ports_.views->set_loads(leader_->loads(), whole);
}

void cluster_node::ask_configuration(const std::string& address)
{
    if (asking_configuration_ || address.empty()) {
        return;
    }
    asking_configuration_ = true;
    const auto asked = ports_.time->now();
    ports_.peers->ask(address, cluster::configuration_request{ports_.configuration->version()},
                      configuration_timeout,
                      [this, asked, alive = alive_](const std::optional<cluster::message>& told) {
                          if (!*alive) {
                              return;
                          }
                          asking_configuration_ = false;
                          const auto* const reply =
                              told ? std::get_if<cluster::configuration_reply>(&*told) : nullptr;
                          if (reply == nullptr) {
                              return;
                          }
                          const auto took = std::chrono::duration_cast<base::milliseconds>(
                              ports_.time->now() - asked);
                          ports_.configuration->receive_from_peer(
                              {reply->version, reply->document},
                              took + base::milliseconds{reply->confirmed_ms_ago});
                      });
}

cluster::hello_answer cluster_node::answer_hello() const
{
    cluster::hello_answer answer;
    answer.from = options_.self;
    answer.leader = leadership_->leader();
    answer.epoch = leadership_->epoch();
    answer.leader_seen_ms_ago = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(leadership_->leader_silence().count(), 0, 1'000'000));
    answer.vms = vms();
    answer.configuration = ports_.configuration->version();
    return answer;
}

cluster::message cluster_node::plain_answer() const
{
    return cluster::heartbeat_reply{options_.self, leadership_->epoch(), false,
                                    ports_.configuration->version(), left_};
}

void cluster_node::receive(const cluster::message& message,
                           std::function<void(std::optional<cluster::message>)> answer)
{
    if (const auto* const beat = std::get_if<cluster::leader_heartbeat>(&message)) {
        answer(answer_beat(*beat));
    } else if (const auto* const hello = std::get_if<cluster::hello>(&message)) {
        know(hello->from);
        answer(answer_hello());
    } else if (const auto* const asked = std::get_if<cluster::configuration_request>(&message)) {
        const auto& stored = ports_.configuration->stored();
        cluster::configuration_reply reply;
        reply.version = stored.version;
        reply.document = stored.version > asked->known_version ? stored.document : std::string{};
        reply.confirmed_ms_ago = configuration_ms_ago();
        answer(cluster::message{std::move(reply)});
    } else if (const auto* const doubt = std::get_if<cluster::uncertain_submission>(&message)) {
        ports_.on_uncertain_submission(doubt->job);
        answer(plain_answer());
    } else if (const auto* const told = std::get_if<cluster::stored_row>(&message)) {
        if (leader_) {
            leader_->receive_row({{"jobs", told->part, told->key}, told->value, told->version});
        }
        answer(plain_answer());
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
    constexpr std::int64_t longest_ms = 1'000'000;
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ports_.configuration->age().count(), 0, longest_ms));
}

void cluster_node::report_uncertain_submission(const std::string& job)
{
    for (const auto& [address, known] : vms_) {
        ports_.peers->ask(address, cluster::uncertain_submission{job}, hello_timeout,
                          [](const std::optional<cluster::message>& /*answer*/) {});
    }
}

const cluster_node::neighbour* cluster_node::choose_successor() const
{
    const auto now = ports_.time->now();
    const neighbour* best = nullptr;
    const auto merit = [](const neighbour& vm) {
        // Of equals the youngest life: a rolling restart has passed it already.
        return std::pair{vm.entry.processor_millis, vm.entry.incarnation};
    };
    for (const auto& [address, known] : vms_) {
        const bool answers = now - known.answered_at <= successor_heard_within;
        const bool able = answers && !known.leaving && !known.entry.vm.empty();
        if (able && (best == nullptr || merit(known) > merit(*best))) {
            best = &known;
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
    for (auto& [address, known] : vms_) {
        beat(address, known);
    }
}

void cluster_node::yield_to_stronger()
{
    const auto now = ports_.time->now();
    const bool settled = leader_->active() && leader_->all_parts_loaded() &&
                         now - elected_at_ >= yield_after &&
                         now - leader_->confirmed_at() < yield_confirmed_within;
    if (!settled || left_ || yielding_) {
        return;
    }
    const auto* const next = choose_successor();
    const auto own = options_.self.processor_millis;
    if (next == nullptr || next->entry.processor_millis < yield_ratio * own) {
        return;
    }
    yielding_ = true;
    log.info("yielding", {{"epoch", leader_->epoch()},
                          {"to", next->entry.vm},
                          {"its_processor_millis", next->entry.processor_millis},
                          {"own_processor_millis", own}});
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
    lost(vacated);
}

void cluster_node::report_stored_row(const store::row& stored)
{
    if (leader_) {
        leader_->receive_row(stored);
        return;
    }
    const auto& address = leadership_->leader().address;
    if (!address.empty()) {
        // The feed shows it in any case; an answer is not needed.
        ports_.peers->ask(
            address,
            cluster::stored_row{stored.id.part, stored.id.key, stored.value, stored.version},
            hello_timeout, [](const std::optional<cluster::message>& /*answer*/) {});
    }
}

void cluster_node::leave(std::function<void()> on_done)
{
    left_ = true;
    leadership_->leave();
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
