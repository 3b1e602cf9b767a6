#include "bench/capacity/measurement.hpp"

#include "membership/membership.hpp"
#include "peer/peer_codec.hpp"

#include <fmt/format.h>

#include <array>
#include <deque>

namespace poplarstile::bench::capacity
{
namespace
{

constexpr std::array<std::size_t, 5> member_sizes{28, 56, 112, 224, 448};
constexpr std::array<std::size_t, 5> update_sizes{4, 8, 16, 32, 64};
constexpr std::size_t domains = 14;
constexpr base::milliseconds tick_interval{100};
constexpr base::milliseconds observed{60'000};
/// Of a request and its response together, besides the bodies.
constexpr std::size_t http_overhead_bytes = 300;
constexpr std::size_t codec_runs = 200;

std::string vm_name(std::size_t number)
{
    return fmt::format("vm-{:04}", number);
}

std::string domain_name(std::size_t number)
{
    return fmt::format("domain-{:02}", number % domains);
}

std::string address_of(std::size_t number)
{
    return fmt::format("10.1.{}.{}:7100", number / 250, number % 250);
}

/// One real member of a group; all others are fakes that answer every probe at once.
class fake_group
{
public:
    explicit fake_group(std::size_t members)
        : group_{
              membership::create({}, {vm_name(0), domain_name(0), address_of(0), 1}, {}, 1).value()}
    {
        peer::members_reply all{.from = vm_name(1)};
        for (std::size_t number = 1; number < members; ++number) {
            all.updates.push_back({.vm = vm_name(number),
                                   .failure_domain = domain_name(number),
                                   .address = address_of(number),
                                   .state = peer::member_state::alive,
                                   .incarnation = 1});
        }
        carry_out(group_.decide(membership::message_received{now_, all}));
    }

    void run(base::milliseconds span)
    {
        const auto end = now_ + span;
        while (now_ < end) {
            now_ += tick_interval;
            carry_out(group_.decide(membership::tick{now_}));
        }
    }

    [[nodiscard]] std::size_t bytes() const
    {
        return bytes_;
    }

private:
    void carry_out(const std::vector<membership::action>& actions)
    {
        for (const auto& action : actions) {
            const auto* const sent = std::get_if<membership::send_message>(&action);
            if (sent == nullptr) {
                continue;
            }
            bytes_ += peer::encode(sent->body).value().size() + http_overhead_bytes;
            if (const auto* const ping = std::get_if<peer::ping>(&sent->body)) {
                answer(*ping);
            }
        }
    }

    /// The answer repeats as many updates as the probe carried.
    void answer(const peer::ping& probe)
    {
        peer::ping_ack ack{probe.probe, probe.target, probe.header};
        ack.header.from = probe.target;
        ack.header.incarnation = 1;
        ack.header.updates.clear();
        bytes_ +=
            peer::encode(peer::ping_ack{probe.probe, probe.target, probe.header}).value().size();
        carry_out(group_.decide(membership::message_received{now_, ack}));
    }

    membership::group group_;
    base::time_point now_{};
    std::size_t bytes_ = 0;
};

slope state_per_member(const effort& how)
{
    return measure({.name = "membership.member.state",
                    .what = "Memory of the group as one VM sees it.",
                    .size_unit = "VMs",
                    .cost_unit = "bytes"},
                   member_sizes, how, [](std::size_t members) {
                       const auto before = allocated_bytes();
                       const fake_group group{members};
                       return static_cast<double>(allocated_bytes() - before);
                   });
}

slope bytes_per_second(const effort& how)
{
    return measure({.name = "membership.probes.bytes",
                    .what = "Bytes a second of a delegate's own probes and their answers, with "
                            "300 bytes of HTTP each, 14 failure domains, nothing failing. As many "
                            "again arrive from others.",
                    .size_unit = "VMs",
                    .cost_unit = "bytes/s"},
                   member_sizes, how, [](std::size_t members) {
                       fake_group group{members};
                       group.run(observed);
                       return static_cast<double>(group.bytes()) /
                              std::chrono::duration<double>(observed).count();
                   });
}

slope cpu_per_second(const effort& how)
{
    return measure({.name = "membership.second.cpu",
                    .what = "Decisions, encoding and answers of one VM in a second without faults.",
                    .size_unit = "VMs",
                    .cost_unit = "us"},
                   member_sizes, how, [&how](std::size_t members) {
                       fake_group group{members};
                       const auto all = least_cpu_us(
                           how.repeats, [] {}, [&] { group.run(observed); });
                       return all / std::chrono::duration<double>(observed).count();
                   });
}

peer::message gossip_of(std::size_t updates)
{
    peer::ping probe{.probe = 17, .target = vm_name(3)};
    probe.header = {.from = vm_name(0), .incarnation = 1'790'000'000'000, .rules_version = 9'400};
    for (std::size_t number = 0; number < updates; ++number) {
        probe.header.updates.push_back({.vm = vm_name(number),
                                        .failure_domain = domain_name(number),
                                        .address = address_of(number),
                                        .state = peer::member_state::alive,
                                        .incarnation = 1'790'000'000'000,
                                        .rules_version = 9'400});
    }
    return probe;
}

slope message_bytes(const effort& how)
{
    return measure({.name = "peer.gossip.bytes",
                    .what = "A probe's body, by the member updates that it carries.",
                    .size_unit = "updates",
                    .cost_unit = "bytes"},
                   update_sizes, how, [](std::size_t updates) {
                       return static_cast<double>(peer::encode(gossip_of(updates)).value().size());
                   });
}

slope message_cpu(const effort& how)
{
    return measure({.name = "peer.gossip.cpu",
                    .what = "Encoding and decoding a probe, by the member updates in it.",
                    .size_unit = "updates",
                    .cost_unit = "us"},
                   update_sizes, how, [&how](std::size_t updates) {
                       const auto probe = gossip_of(updates);
                       const auto all = least_cpu_us(
                           how.repeats, [] {},
                           [&] {
                               for (std::size_t run = 0; run < codec_runs; ++run) {
                                   (void)peer::decode(peer::encode(probe).value());
                               }
                           });
                       return all / static_cast<double>(codec_runs);
                   });
}

} // namespace

std::vector<slope> membership_slopes(const effort& how)
{
    return {state_per_member(how), bytes_per_second(how), cpu_per_second(how), message_bytes(how),
            message_cpu(how)};
}

} // namespace poplarstile::bench::capacity
