#include "cluster/cluster_codec.hpp"

#include "cluster/gen/cluster_types.h"
#include "peer/thrift_frame.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace poplarstile::cluster
{
namespace
{

constexpr std::int32_t wire_version = 1;
/// The largest message is a page of store rows relayed for another VM.
constexpr std::size_t max_message_bytes = std::size_t{3} * 1024 * 1024;
constexpr std::size_t max_list_entries = 50'000;
/// An empty text takes one byte of a message and 32 of memory.
constexpr std::size_t max_elements = 2 * max_list_entries;

peer::codec_limits limits()
{
    peer::codec_limits limits;
    limits.max_bytes = max_message_bytes;
    limits.max_list = max_list_entries;
    limits.max_elements = max_elements;
    return limits;
}

base::error invalid(std::string detail)
{
    return {base::error_code::peer_message_invalid, "peer message", std::move(detail), ""};
}

std::int64_t to_wire(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::uint64_t from_wire(std::int64_t value)
{
    return static_cast<std::uint64_t>(value);
}

gen::vm_entry to_wire(const vm_entry& value)
{
    gen::vm_entry wire;
    wire.__set_vm(value.vm);
    wire.__set_born(to_wire(value.incarnation));
    wire.__set_address(value.address);
    wire.__set_failure_domain(value.failure_domain);
    wire.__set_processor_millis(static_cast<std::int32_t>(value.processor_millis));
    wire.__set_link_kbit(static_cast<std::int32_t>(value.link_kbit));
    return wire;
}

vm_entry from_wire(const gen::vm_entry& wire)
{
    return {wire.vm,
            from_wire(wire.born),
            wire.address,
            wire.failure_domain,
            static_cast<std::uint32_t>(std::max(wire.processor_millis, 0)),
            static_cast<std::uint32_t>(std::max(wire.link_kbit, 0))};
}

std::vector<gen::vm_entry> to_wire(const std::vector<vm_entry>& values)
{
    std::vector<gen::vm_entry> wire;
    std::ranges::transform(values, std::back_inserter(wire),
                           [](const vm_entry& value) { return to_wire(value); });
    return wire;
}

std::vector<vm_entry> from_wire(const std::vector<gen::vm_entry>& wire)
{
    std::vector<vm_entry> values;
    std::ranges::transform(wire, std::back_inserter(values),
                           [](const gen::vm_entry& value) { return from_wire(value); });
    return values;
}

/// Sets the member of the wire union that corresponds to a message's type.
class wire_writer
{
public:
    explicit wire_writer(gen::message& wire) : wire_{&wire} {}

    void operator()(const leader_heartbeat& value) const
    {
        gen::leader_beat heartbeat;
        heartbeat.__set_leader(to_wire(value.leader));
        heartbeat.__set_epoch(to_wire(value.epoch));
        heartbeat.__set_sequence(to_wire(value.sequence));
        heartbeat.__set_snapshot(value.snapshot);
        heartbeat.__set_partial(value.partial);
        for (const auto& change : value.changes) {
            gen::job_change job;
            job.__set_job(change.job);
            job.__set_queue(change.queue);
            job.__set_workspace(change.workspace);
            job.__set_status(static_cast<std::int32_t>(change.status));
            heartbeat.changes.push_back(std::move(job));
        }
        for (const auto& load : value.loads) {
            gen::queue_load queue;
            queue.__set_queue(load.queue);
            queue.__set_waiting(static_cast<std::int32_t>(load.waiting));
            queue.__set_retry_after_s(static_cast<std::int32_t>(load.retry_after_s));
            if (load.shortage) {
                gen::queue_shortage shortage;
                shortage.__set_wait_ms(static_cast<std::int32_t>(load.shortage->wait_ms));
                shortage.__set_in_time_wait_ms(
                    static_cast<std::int32_t>(load.shortage->in_time_wait_ms));
                shortage.__set_late_permille(
                    static_cast<std::int32_t>(load.shortage->late_permille));
                shortage.__set_at_fair_share(load.shortage->at_fair_share);
                queue.__set_shortage(shortage);
            }
            heartbeat.loads.push_back(std::move(queue));
        }
        heartbeat.__set_configuration(to_wire(value.configuration));
        heartbeat.__set_confirmed_ms_ago(static_cast<std::int32_t>(value.confirmed_ms_ago));
        heartbeat.__set_vms(to_wire(value.vms.added));
        heartbeat.__set_vms_base(to_wire(value.vms.base));
        heartbeat.__set_vms_version(to_wire(value.vms.version));
        heartbeat.__set_vms_removed(value.vms.removed);
        heartbeat.__set_vacant(value.vacant);
        heartbeat.__set_successor(value.successor);
        heartbeat.__set_lease_version(to_wire(value.lease_version));
        heartbeat.__set_lease_part(static_cast<std::int32_t>(value.lease_part));
        heartbeat.__set_configuration_ms_ago(static_cast<std::int32_t>(value.configuration_ms_ago));
        wire_->__set_beat(heartbeat);
    }

    void operator()(const heartbeat_reply& value) const
    {
        gen::beat_answer answer;
        answer.__set_from_vm(to_wire(value.from));
        answer.__set_epoch(to_wire(value.epoch));
        answer.__set_wants_snapshot(value.wants_snapshot);
        answer.__set_leaving(value.leaving);
        answer.__set_configuration(to_wire(value.configuration));
        answer.__set_vms_version(to_wire(value.vms_version));
        wire_->__set_beat_reply(answer);
    }

    void operator()(const hello& value) const
    {
        gen::hello request_hello;
        request_hello.__set_from_vm(to_wire(value.from));
        wire_->__set_hello_message(request_hello);
    }

    void operator()(const hello_answer& value) const
    {
        gen::hello_answer answer;
        answer.__set_from_vm(to_wire(value.from));
        answer.__set_leader(to_wire(value.leader));
        answer.__set_epoch(to_wire(value.epoch));
        answer.__set_leader_heard_ms_ago(static_cast<std::int32_t>(value.leader_seen_ms_ago));
        answer.__set_vms(to_wire(value.vms));
        answer.__set_configuration(to_wire(value.configuration));
        wire_->__set_hello_reply(answer);
    }

    void operator()(const configuration_request& value) const
    {
        gen::configuration_request request;
        request.__set_have(to_wire(value.known_version));
        wire_->__set_configuration_ask(request);
    }

    void operator()(const configuration_reply& value) const
    {
        gen::configuration_reply reply;
        reply.__set_version(to_wire(value.version));
        reply.__set_document(value.document);
        reply.__set_confirmed_ms_ago(static_cast<std::int32_t>(value.confirmed_ms_ago));
        wire_->__set_configuration_given(reply);
    }

    void operator()(const store_call& value) const
    {
        gen::store_call call;
        call.__set_method(value.method);
        call.__set_target(value.target);
        call.__set_body(value.body);
        call.__set_wait_ms(static_cast<std::int32_t>(value.wait_ms));
        call.__set_scope(value.scope);
        wire_->__set_store_ask(call);
    }

    void operator()(const store_answer& value) const
    {
        gen::store_answer answer;
        answer.__set_delivery(value.delivery);
        answer.__set_status(value.status);
        answer.__set_body(value.body);
        wire_->__set_store_given(answer);
    }

    void operator()(const stored_row& value) const
    {
        gen::stored_row row;
        row.__set_part(value.part);
        row.__set_key(value.key);
        row.__set_value(value.value);
        row.__set_version(to_wire(value.version));
        wire_->__set_row_stored(row);
    }

    void operator()(const uncertain_submission& value) const
    {
        gen::doubtful_job submission;
        submission.__set_job(value.job);
        wire_->__set_job_in_doubt(submission);
    }

private:
    gen::message* wire_;
};

base::result<message> read_heartbeat(const gen::leader_beat& wire)
{
    leader_heartbeat heartbeat;
    heartbeat.leader = from_wire(wire.leader);
    heartbeat.epoch = from_wire(wire.epoch);
    heartbeat.sequence = from_wire(wire.sequence);
    heartbeat.snapshot = wire.snapshot;
    heartbeat.partial = wire.partial;
    for (const auto& change : wire.changes) {
        if (change.status < 0 ||
            change.status > static_cast<std::int32_t>(batch::job_status::cancelled)) {
            return invalid(fmt::format("unknown job status {}", change.status));
        }
        heartbeat.changes.push_back({change.job, change.queue, change.workspace,
                                     static_cast<batch::job_status>(change.status)});
    }
    for (const auto& load : wire.loads) {
        queue_load queue{load.queue, static_cast<std::uint32_t>(load.waiting),
                         static_cast<std::uint32_t>(load.retry_after_s)};
        if (load.__isset.shortage) {
            const auto& shortage = load.shortage;
            queue.shortage = queue_shortage{static_cast<std::uint32_t>(shortage.wait_ms),
                                            static_cast<std::uint32_t>(shortage.in_time_wait_ms),
                                            static_cast<std::uint32_t>(shortage.late_permille),
                                            shortage.at_fair_share};
        }
        heartbeat.loads.push_back(std::move(queue));
    }
    heartbeat.configuration = from_wire(wire.configuration);
    heartbeat.confirmed_ms_ago = static_cast<std::uint32_t>(wire.confirmed_ms_ago);
    heartbeat.vms = {from_wire(wire.vms_base), from_wire(wire.vms_version), from_wire(wire.vms),
                     wire.vms_removed};
    heartbeat.vacant = wire.vacant;
    heartbeat.configuration_ms_ago = static_cast<std::uint32_t>(wire.configuration_ms_ago);
    heartbeat.successor = wire.successor;
    heartbeat.lease_version = from_wire(wire.lease_version);
    heartbeat.lease_part = static_cast<std::uint32_t>(wire.lease_part);
    return message{std::move(heartbeat)};
}

/// Counts the members set in the wire union. A frame with more than one is rejected because it is
/// ambiguous.
int count_messages(const gen::message& wire)
{
    const auto& isset = wire.__isset;
    return int{isset.beat} + int{isset.beat_reply} + int{isset.hello_message} +
           int{isset.hello_reply} + int{isset.configuration_ask} + int{isset.configuration_given} +
           int{isset.store_ask} + int{isset.store_given} + int{isset.row_stored} +
           int{isset.job_in_doubt};
}

base::result<message> from_wire(gen::message& wire)
{
    const auto& isset = wire.__isset;
    if (count_messages(wire) != 1) {
        return invalid(fmt::format("expected one message, found {}", count_messages(wire)));
    }
    if (isset.beat) {
        return read_heartbeat(wire.beat);
    }
    if (isset.beat_reply) {
        const auto& reply = wire.beat_reply;
        return message{heartbeat_reply{from_wire(reply.from_vm), from_wire(reply.epoch),
                                       reply.wants_snapshot, from_wire(reply.configuration),
                                       reply.leaving, from_wire(reply.vms_version)}};
    }
    if (isset.hello_message) {
        return message{hello{from_wire(wire.hello_message.from_vm)}};
    }
    if (isset.hello_reply) {
        const auto& reply = wire.hello_reply;
        return message{hello_answer{from_wire(reply.from_vm), from_wire(reply.leader),
                                    from_wire(reply.epoch),
                                    static_cast<std::uint32_t>(reply.leader_heard_ms_ago),
                                    from_wire(reply.vms), from_wire(reply.configuration)}};
    }
    if (isset.configuration_ask) {
        return message{configuration_request{from_wire(wire.configuration_ask.have)}};
    }
    if (isset.configuration_given) {
        auto& wire_reply = wire.configuration_given;
        return message{
            configuration_reply{from_wire(wire_reply.version), std::move(wire_reply.document),
                                static_cast<std::uint32_t>(wire_reply.confirmed_ms_ago)}};
    }
    if (isset.store_ask) {
        auto& call = wire.store_ask;
        return message{store_call{std::move(call.method), std::move(call.target),
                                  std::move(call.body), static_cast<std::uint32_t>(call.wait_ms),
                                  std::move(call.scope)}};
    }
    if (isset.job_in_doubt) {
        return message{uncertain_submission{std::move(wire.job_in_doubt.job)}};
    }
    if (isset.row_stored) {
        auto& row = wire.row_stored;
        return message{stored_row{std::move(row.part), std::move(row.key), std::move(row.value),
                                  from_wire(row.version)}};
    }
    auto& wire_reply = wire.store_given;
    return message{store_answer{static_cast<std::uint8_t>(wire_reply.delivery),
                                static_cast<std::uint16_t>(wire_reply.status),
                                std::move(wire_reply.body)}};
}

} // namespace

base::result<std::string> encode(const message& value)
{
    gen::message body;
    std::visit(wire_writer{body}, value);
    gen::envelope wire;
    wire.__set_version(wire_version);
    wire.__set_body(body);
    return peer::write_frame(wire, limits());
}

base::result<message> decode(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(wire, peer::read_frame<gen::envelope>(bytes, limits()));
    if (wire.version != wire_version) {
        return invalid(fmt::format("version {}, expected {}", wire.version, wire_version));
    }
    return from_wire(wire.body);
}

} // namespace poplarstile::cluster
