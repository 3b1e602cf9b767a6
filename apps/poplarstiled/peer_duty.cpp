#include "peer_duty.hpp"

#include "base/log.hpp"

#include <fmt/format.h>

#include <chrono>
#include <random>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

constexpr std::size_t ring_capacity = 4'096;
constexpr base::milliseconds tick_interval{50};
constexpr std::int64_t us_per_ms = 1'000;
constexpr std::string_view part = "membership";
constexpr base::logger log{"membership"};

std::string sender_of(const peer::message& body)
{
    return std::visit(
        [](const auto& one) -> std::string {
            if constexpr (requires { one.header.from; }) {
                return one.header.from;
            }
            return {};
        },
        body);
}

std::vector<membership::seed> seeds_of(const settings::vm_settings& settings)
{
    std::vector<membership::seed> seeds;
    for (const auto& peer : settings.peers) {
        seeds.push_back({peer.id, peer.failure_domain, peer.address});
    }
    return seeds;
}

membership::config config_of(const settings::vm_settings& settings)
{
    membership::config limits;
    limits.probe_interval = settings.times.gossip_interval;
    limits.suspicion_min = settings.times.suspicion_timeout;
    return limits;
}

} // namespace

base::result<std::unique_ptr<peer_duty>> peer_duty::create(node& owner, peer_link& link)
{
    const auto& settings = owner.settings;
    const auto incarnation = static_cast<std::uint64_t>(base::wall_clock_us() / 1000);
    const auto address = fmt::format("{}:{}", settings.listen.address, settings.listen.peer_port);
    auto group = membership::create(
        config_of(settings), {settings.vm.id, settings.vm.failure_domain, address, incarnation},
        seeds_of(settings), std::hash<std::string>{}(owner.run_id));
    if (!group.has_value()) {
        return std::move(group).error();
    }
    return std::unique_ptr<peer_duty>{new peer_duty{owner, link, std::move(group).value()}};
}

peer_duty::peer_duty(node& owner, peer_link& link, membership::group group)
    : node_{owner}, link_{link}, group_{std::move(group)}, duty_{ring_capacity, tick_interval}
{
}

void peer_duty::start(newer_rules_handler on_newer_rules, members_handler on_members,
                      gone_handler on_gone)
{
    on_gone_ = std::move(on_gone);
    on_newer_rules_ = std::move(on_newer_rules);
    on_members_ = std::move(on_members);
    publish();
    duty_.start([this](message&& happened) { handle(std::move(happened)); }, [this] { on_tick(); });
}

void peer_duty::stop()
{
    duty_.stop();
}

void peer_duty::receive(peer::message body, const net::http_responder& responder)
{
    if (!duty_.try_post(received{std::move(body), responder})) {
        responder.send({.status = 503});
    }
}

void peer_duty::rules_in_force(std::uint64_t version)
{
    duty_.post(membership::event{membership::rules_in_force{base::now(), version}});
}

void peer_duty::leave()
{
    duty_.post(membership::event{membership::leave_requested{base::now()}});
}

void peer_duty::handle(message happened)
{
    if (auto* const from_peer = std::get_if<received>(&happened)) {
        observe(from_peer->body);
        const auto sender = sender_of(from_peer->body);
        auto actions =
            group_.decide(membership::message_received{base::now(), std::move(from_peer->body)});
        carry_out(actions, &from_peer->responder, sender);
        from_peer->responder.send({.status = 200});
        return;
    }
    carry_out(group_.decide(std::get<membership::event>(happened)), nullptr, {});
}

void peer_duty::on_tick()
{
    carry_out(group_.decide(membership::tick{base::now()}), nullptr, {});
    poll_vm_list();
    publish();
}

void peer_duty::poll_vm_list()
{
    const auto now = base::now();
    if (now - vm_list_asked_ < node_.settings.times.vm_list_poll) {
        return;
    }
    vm_list_asked_ = now;
    node_.table->list_vms([this](auto listed) {
        if (!listed.has_value()) {
            return;
        }
        membership::vm_list_received list{.now = base::now()};
        for (auto& vm : listed.value()) {
            if (!vm.leaving) {
                list.vms.push_back({vm.id, vm.failure_domain, vm.address});
            }
        }
        (void)duty_.try_post(membership::event{std::move(list)});
    });
}

void peer_duty::carry_out(const std::vector<membership::action>& actions,
                          const net::http_responder* responder, const std::string& sender)
{
    for (const auto& action : actions) {
        if (const auto* const outgoing = std::get_if<membership::send_message>(&action)) {
            const bool answers_sender = responder != nullptr && outgoing->vm == sender &&
                                        std::holds_alternative<peer::ping_ack>(outgoing->body);
            if (answers_sender) {
                auto body = outgoing->body;
                stamp(body);
                responder->send(peer_response(body));
            } else {
                send(*outgoing);
            }
        } else if (const auto* const changed = std::get_if<membership::member_changed>(&action)) {
            const auto& member = changed->now_is;
            node_.note(part, "member." + std::string{peer::name_of(member.state)},
                       "vm/" + member.vm, "", fmt::format("incarnation {}", member.incarnation));
            if (member.state == peer::member_state::dead ||
                member.state == peer::member_state::leaving) {
                on_gone_(member.vm);
            }
            log.info("{} is {}.", member.vm, peer::name_of(member.state));
        } else if (const auto* const rules = std::get_if<membership::newer_rules_seen>(&action)) {
            on_newer_rules_(rules->address, rules->version);
        } else if (const auto* const pause = std::get_if<membership::pause_noticed>(&action)) {
            log.warning("This process was paused for {} ms.", pause->gap.count());
            node_.note(part, "process.paused", "vm/" + node_.settings.vm.id, "",
                       fmt::format("{} ms", pause->gap.count()));
        }
    }
}

void peer_duty::stamp(peer::message& body)
{
    const auto now = node_.events->clock().tick(base::wall_clock_us() / us_per_ms);
    std::visit(
        [now](auto& one) {
            if constexpr (requires { one.header.hlc; }) {
                one.header.hlc = now;
            }
        },
        body);
}

void peer_duty::observe(const peer::message& body)
{
    std::visit(
        [this](const auto& one) {
            if constexpr (requires { one.header.hlc; }) {
                node_.events->clock().observe(one.header.hlc, base::wall_clock_us() / us_per_ms);
            }
        },
        body);
}

void peer_duty::send(const membership::send_message& action)
{
    const auto timeout = node_.settings.times.gossip_interval;
    std::optional<std::uint64_t> probe;
    if (const auto* const ping = std::get_if<peer::ping>(&action.body)) {
        probe = ping->probe;
    }
    auto body = action.body;
    stamp(body);
    link_.call(action.address, body, timeout, [this, probe](auto answer) {
        if (answer.has_value() && answer.value()) {
            observe(*answer.value());
            (void)duty_.try_post(membership::event{
                membership::message_received{base::now(), std::move(*answer.value())}});
        } else if (!answer.has_value() && probe) {
            (void)duty_.try_post(membership::event{membership::probe_failed{base::now(), *probe}});
        }
    });
}

void peer_duty::publish()
{
    node_.members.set(group_.members());
    const auto live = group_.live(node_.settings.vm.failure_domain).size();
    if (live != live_vms_) {
        live_vms_ = live;
        on_members_(live);
    }
}

} // namespace poplarstile::daemon
