#include "peer/peer_codec.hpp"

#include "peer/gen/peer_types.h"
#include "peer/thrift_frame.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <utility>

namespace poplarstile::peer
{
namespace
{

base::error invalid(std::string detail)
{
    return {.code = base::error_code::peer_message_invalid,
            .place = "peer message",
            .detail = std::move(detail)};
}

std::int64_t to_wire(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t from_wire(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

gen::member_update to_wire(const member_update& value)
{
    gen::member_update wire;
    wire.__set_vm(value.vm);
    wire.__set_failure_domain(value.failure_domain);
    wire.__set_address(value.address);
    wire.__set_state(static_cast<std::int32_t>(value.state));
    wire.__set_incarnation(to_wire(value.incarnation));
    wire.__set_rules_version(to_wire(value.rules_version));
    wire.__set_reporter(value.reporter);
    return wire;
}

gen::lease_view to_wire(const lease_view& value)
{
    gen::lease_view wire;
    wire.__set_failure_domain(value.failure_domain);
    wire.__set_holder(value.holder);
    wire.__set_epoch(to_wire(value.epoch));
    return wire;
}

gen::gossip to_wire(const gossip& value)
{
    gen::gossip wire;
    wire.__set_from_vm(value.from);
    wire.__set_incarnation(to_wire(value.incarnation));
    wire.__set_hlc(to_wire(value.hlc));
    wire.__set_rules_version(to_wire(value.rules_version));
    for (const auto& update : value.updates) {
        wire.updates.push_back(to_wire(update));
    }
    for (const auto& lease : value.leases) {
        wire.leases.push_back(to_wire(lease));
    }
    return wire;
}

template <class Wire, class Probe>
Wire probe_to_wire(const Probe& value)
{
    Wire wire;
    wire.__set_probe(to_wire(value.probe));
    wire.__set_target(value.target);
    wire.__set_header(to_wire(value.header));
    return wire;
}

/// Fills the wire union with the message visited.
struct wire_writer {
    gen::message& wire;

    void operator()(const ping& value) const
    {
        wire.__set_ping_message(probe_to_wire<gen::ping>(value));
    }

    void operator()(const ping_ack& value) const
    {
        wire.__set_ping_ack_message(probe_to_wire<gen::ping_ack>(value));
    }

    void operator()(const ping_request& value) const
    {
        wire.__set_ping_request_message(probe_to_wire<gen::ping_request>(value));
    }

    void operator()(const rules_request& value) const
    {
        gen::rules_request body;
        body.__set_from_vm(value.from);
        body.__set_after_version(to_wire(value.after_version));
        wire.__set_rules_request_message(body);
    }

    void operator()(const rules_reply& value) const
    {
        gen::rules_reply body;
        body.__set_from_version(to_wire(value.from_version));
        body.__set_to_version(to_wire(value.to_version));
        body.__set_entries(value.entries);
        body.__set_snapshot(value.snapshot);
        wire.__set_rules_reply_message(body);
    }

    void operator()(const leave& value) const
    {
        gen::leave body;
        body.__set_vm(value.vm);
        body.__set_incarnation(to_wire(value.incarnation));
        wire.__set_leave_message(body);
    }

    void operator()(const scheduler_forward& value) const
    {
        gen::scheduler_forward body;
        body.__set_kind(static_cast<std::int32_t>(value.kind));
        body.__set_from_vm(value.from);
        body.__set_payload(value.payload);
        wire.__set_scheduler_forward_message(body);
    }

    void operator()(const scheduler_answer& value) const
    {
        gen::scheduler_answer body;
        body.__set_status(value.status);
        body.__set_payload(value.payload);
        wire.__set_scheduler_answer_message(body);
    }

    void operator()(const load_report& value) const
    {
        gen::load_report body;
        body.__set_from_vm(value.from);
        for (const auto& load : value.workers) {
            gen::worker_load entry;
            entry.__set_worker(load.worker);
            entry.__set_in_flight(static_cast<std::int32_t>(load.in_flight));
            body.workers.push_back(entry);
        }
        body.__isset.workers = true;
        wire.__set_load_report_message(body);
    }

    void operator()(const members_request& value) const
    {
        gen::members_request body;
        body.__set_from_vm(value.from);
        body.__set_after_vm(value.after);
        wire.__set_members_request_message(body);
    }

    void operator()(const members_reply& value) const
    {
        gen::members_reply body;
        body.__set_from_vm(value.from);
        body.__set_more(value.more);
        for (const auto& update : value.updates) {
            body.updates.push_back(to_wire(update));
        }
        body.__isset.updates = true;
        wire.__set_members_reply_message(body);
    }
};

base::result<member_update> from_wire(gen::member_update& wire)
{
    if (wire.state < 0 || wire.state > static_cast<std::int32_t>(member_state::dead)) {
        return invalid(fmt::format("member state {} is unknown", wire.state));
    }
    return member_update{.vm = std::move(wire.vm),
                         .failure_domain = std::move(wire.failure_domain),
                         .address = std::move(wire.address),
                         .state = static_cast<member_state>(wire.state),
                         .incarnation = from_wire(wire.incarnation),
                         .rules_version = from_wire(wire.rules_version),
                         .reporter = std::move(wire.reporter)};
}

base::result<gossip> from_wire(gen::gossip& wire)
{
    gossip value{.from = std::move(wire.from_vm),
                 .incarnation = from_wire(wire.incarnation),
                 .hlc = from_wire(wire.hlc),
                 .rules_version = from_wire(wire.rules_version)};
    for (auto& update : wire.updates) {
        BOOST_OUTCOME_TRY(read, from_wire(update));
        value.updates.push_back(std::move(read));
    }
    for (auto& lease : wire.leases) {
        value.leases.push_back({.failure_domain = std::move(lease.failure_domain),
                                .holder = std::move(lease.holder),
                                .epoch = from_wire(lease.epoch)});
    }
    return value;
}

template <class Probe, class Wire>
base::result<message> probe_from_wire(Wire& wire)
{
    BOOST_OUTCOME_TRY(header, from_wire(wire.header));
    return message{Probe{.probe = from_wire(wire.probe),
                         .target = std::move(wire.target),
                         .header = std::move(header)}};
}

base::result<message> from_wire(gen::scheduler_forward& wire)
{
    if (wire.kind < 0 || wire.kind > static_cast<std::int32_t>(scheduler_call::list)) {
        return invalid(fmt::format("scheduler call {} is unknown", wire.kind));
    }
    return message{scheduler_forward{.kind = static_cast<scheduler_call>(wire.kind),
                                     .from = std::move(wire.from_vm),
                                     .payload = std::move(wire.payload)}};
}

base::result<message> from_wire(gen::scheduler_answer& wire)
{
    if (wire.status < 0 || wire.status > std::numeric_limits<std::uint16_t>::max()) {
        return invalid(fmt::format("status {} is out of range", wire.status));
    }
    return message{scheduler_answer{.status = static_cast<std::uint16_t>(wire.status),
                                    .payload = std::move(wire.payload)}};
}

base::result<message> from_wire(gen::load_report& wire)
{
    load_report value{.from = std::move(wire.from_vm)};
    for (auto& load : wire.workers) {
        if (load.in_flight < 0) {
            return invalid("a load is negative");
        }
        value.workers.push_back({.worker = std::move(load.worker),
                                 .in_flight = static_cast<std::uint32_t>(load.in_flight)});
    }
    return message{std::move(value)};
}

message from_wire(gen::members_request& wire)
{
    return members_request{.from = std::move(wire.from_vm), .after = std::move(wire.after_vm)};
}

base::result<message> from_wire(gen::members_reply& wire)
{
    members_reply value{.from = std::move(wire.from_vm), .more = wire.more};
    for (auto& update : wire.updates) {
        BOOST_OUTCOME_TRY(read, from_wire(update));
        value.updates.push_back(std::move(read));
    }
    return message{std::move(value)};
}

message from_wire(gen::rules_request& wire)
{
    return rules_request{.from = std::move(wire.from_vm),
                         .after_version = from_wire(wire.after_version)};
}

message from_wire(gen::rules_reply& wire)
{
    return rules_reply{.from_version = from_wire(wire.from_version),
                       .to_version = from_wire(wire.to_version),
                       .entries = std::move(wire.entries),
                       .snapshot = std::move(wire.snapshot)};
}

message from_wire(gen::leave& wire)
{
    return leave{.vm = std::move(wire.vm), .incarnation = from_wire(wire.incarnation)};
}

/// A frame that carries two messages is refused: which one the sender meant is unknown.
int messages_in(const gen::message& wire)
{
    const auto& isset = wire.__isset;
    return int{isset.ping_message} + int{isset.ping_ack_message} + int{isset.ping_request_message} +
           int{isset.rules_request_message} + int{isset.rules_reply_message} +
           int{isset.leave_message} + int{isset.scheduler_forward_message} +
           int{isset.scheduler_answer_message} + int{isset.load_report_message} +
           int{isset.members_request_message} + int{isset.members_reply_message};
}

base::result<message> from_wire(gen::message& wire)
{
    if (messages_in(wire) != 1) {
        return invalid(fmt::format("expected one message, found {}", messages_in(wire)));
    }
    if (wire.__isset.ping_message) {
        return probe_from_wire<ping>(wire.ping_message);
    }
    if (wire.__isset.ping_ack_message) {
        return probe_from_wire<ping_ack>(wire.ping_ack_message);
    }
    if (wire.__isset.ping_request_message) {
        return probe_from_wire<ping_request>(wire.ping_request_message);
    }
    if (wire.__isset.rules_request_message) {
        return from_wire(wire.rules_request_message);
    }
    if (wire.__isset.rules_reply_message) {
        return from_wire(wire.rules_reply_message);
    }
    if (wire.__isset.leave_message) {
        return from_wire(wire.leave_message);
    }
    if (wire.__isset.scheduler_forward_message) {
        return from_wire(wire.scheduler_forward_message);
    }
    if (wire.__isset.scheduler_answer_message) {
        return from_wire(wire.scheduler_answer_message);
    }
    if (wire.__isset.load_report_message) {
        return from_wire(wire.load_report_message);
    }
    if (wire.__isset.members_request_message) {
        return from_wire(wire.members_request_message);
    }
    return from_wire(wire.members_reply_message);
}

} // namespace

base::result<std::string> encode(const message& value, const codec_limits& limits)
{
    gen::message body;
    std::visit(wire_writer{body}, value);
    gen::envelope wire;
    wire.__set_version(wire_version);
    wire.__set_body(body);
    return write_frame(wire, limits);
}

base::result<message> decode(std::string_view bytes, const codec_limits& limits)
{
    BOOST_OUTCOME_TRY(wire, read_frame<gen::envelope>(bytes, limits));
    if (wire.version != wire_version) {
        return invalid(fmt::format("version {}, expected {}", wire.version, wire_version));
    }
    return from_wire(wire.body);
}

} // namespace poplarstile::peer
