#include "standins/site_standin/worker_wire.hpp"

#include "platform/wire.hpp"
#include "standins/common/json_http.hpp"

#include <array>
#include <string_view>

namespace poplarstile::standins::site_standin
{
namespace
{

namespace wire = platform::wire;
using fleet::order_outcome;

fleet::start_order decode_start(const json& body)
{
    fleet::start_order order;
    order.task = batch::parse_task_id(body.at(wire::task).get<std::string>()).value();
    order.run = body.at(wire::run).get<std::uint32_t>();
    order.payload = body.at(wire::payload).get<std::string>();
    order.lease_until = body.at(wire::lease_until).get<std::int64_t>();
    order.token = body.value(wire::token, std::uint64_t{0});
    order.checkpoint = body.value(wire::checkpoint, std::string{});
    return order;
}

fleet::stop_order decode_stop(const json& body)
{
    fleet::stop_order order;
    order.task = batch::parse_task_id(body.at(wire::task).get<std::string>()).value();
    order.run = body.at(wire::run).get<std::uint32_t>();
    order.token = body.value(wire::token, std::uint64_t{0});
    return order;
}

fleet::look_order decode_look(const json& body)
{
    fleet::look_order order;
    order.token = body.value(wire::token, std::uint64_t{0});
    order.acknowledged = body.value(wire::acknowledged, std::uint64_t{0});
    if (body.contains(wire::lease_until)) {
        order.lease_until = body.at(wire::lease_until).get<std::int64_t>();
    }
    order.wait = base::milliseconds{body.value(wire::wait, std::int64_t{0})};
    return order;
}

std::string_view word_for(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::fenced:
        return "fence";
    case order_outcome::outdated:
        return "old";
    case order_outcome::late:
        return "late";
    case order_outcome::no_ticket:
        return "ticket";
    default:
        return "room";
    }
}

std::string_view word_for(batch::run_end how)
{
    switch (how) {
    case batch::run_end::done:
        return "done";
    case batch::run_end::failed:
        return "failed";
    case batch::run_end::stopped:
        return "stopped";
    case batch::run_end::gang_aborted:
        return "broken";
    case batch::run_end::gang_start_timeout:
        return "alone";
    default:
        return "lapsed";
    }
}

std::optional<net::http_response> encode_outcome(order_outcome outcome, json body)
{
    switch (outcome) {
    case order_outcome::accepted:
        return json_response(200, body);
    case order_outcome::unanswered:
    case order_outcome::not_sent:
        return std::nullopt;
    case order_outcome::unavailable:
        return json_response(503, body);
    case order_outcome::other_life:
        return json_response(421, body);
    case order_outcome::malformed:
        return json_response(400, body);
    default:
        body[wire::reason] = word_for(outcome);
        return json_response(409, body);
    }
}

json with_clock(std::optional<std::int64_t> worker_ms)
{
    return worker_ms ? json{{wire::worker_clock, *worker_ms}} : json::object();
}

} // namespace

std::optional<worker_order> decode_order(const std::string& id, const net::http_request& request)
{
    const auto addressed = [&id](auto order) {
        order.to.life.worker = id;
        return worker_order{std::move(order)};
    };
    try {
        const auto body = json::parse(request.body);
        if (request.path == wire::start_path) {
            return addressed(decode_start(body));
        }
        if (request.path == wire::stop_path) {
            return addressed(decode_stop(body));
        }
        if (request.path == wire::look_path) {
            return addressed(decode_look(body));
        }
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

bool is_for_another(const std::string& id, const net::http_request& request)
{
    const auto named = request.header(wire::expected_worker_header);
    return named && *named != id;
}

std::optional<net::http_response> encode_reply(const fleet::order_reply& reply)
{
    return encode_outcome(reply.outcome, with_clock(reply.worker_ms));
}

std::optional<net::http_response> encode_reply(const fleet::look_reply& reply)
{
    auto body = with_clock(reply.worker_ms);
    if (reply.born) {
        body[wire::born] = *reply.born;
    }
    body[wire::running] = json::array();
    for (const auto& entry : reply.running) {
        body[wire::running].push_back(
            {batch::to_text(entry.task), entry.run, entry.checkpoint, entry.percent});
    }
    body[wire::ended] = json::array();
    for (const auto& entry : reply.ended) {
        body[wire::ended].push_back({entry.number, batch::to_text(entry.task), entry.run,
                                     word_for(entry.how), entry.checkpoint});
    }
    return encode_outcome(reply.outcome, std::move(body));
}

std::string encode_entry(const fleet::worker_facts& facts, std::uint64_t sequence)
{
    json entry{{wire::born, facts.life.started_at},
               {"service", facts.service},
               {"address", facts.address},
               {"zone", facts.failure_domain},
               {"version", "1"},
               {"slots", 0},
               {"state", facts.draining ? "draining" : "ready"},
               {"cold_left_ms", 0},
               {"sequence", sequence},
               {"capacity",
                {{"cpu", facts.capacity.cpu_milli},
                 {"mem_mb", facts.capacity.memory_mb},
                 {"gpu", facts.capacity.accelerators}}},
               {"labels", facts.labels}};
    if (facts.remaining) {
        entry["remaining_ms"] = facts.remaining->count();
    }
    return entry.dump();
}

std::string with_address(const std::string& entry, const std::string& address)
{
    auto document = json::parse(entry, nullptr, false);
    if (!document.is_object()) {
        return entry;
    }
    document["address"] = address;
    return document.dump();
}

} // namespace poplarstile::standins::site_standin
