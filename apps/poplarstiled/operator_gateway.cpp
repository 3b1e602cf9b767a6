#include "operator_gateway.hpp"

#include "answers.hpp"

#include "base/log.hpp"

#include <openssl/crypto.h>

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace poplarstile::daemon
{
namespace
{

using base::error_code;
using nlohmann::json;

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t default_event_limit = 1'000;
constexpr std::size_t max_rules_bytes = std::size_t{4} * 1024 * 1024;
constexpr base::logger log{"operator"};

std::uint64_t number_query(const net::http_request& request, std::string_view name,
                           std::uint64_t otherwise)
{
    const auto text = request.query_value(name);
    std::uint64_t value = 0;
    if (!text ||
        std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc{}) {
        return otherwise;
    }
    return value;
}

json member_body(const membership::member& member)
{
    return {{"id", member.vm},
            {"failure_domain", member.failure_domain},
            {"state", peer::name_of(member.state)},
            {"incarnation", member.incarnation},
            {"rules_version", member.rules_version}};
}

} // namespace

operator_gateway::operator_gateway(node& owner, rules_gateway& rules, job_gateway& jobs,
                                   std::function<void()> on_drain,
                                   std::function<void(daemon_metrics&)> record_callers)
    : node_{owner}, rules_{rules}, jobs_{jobs}, on_drain_{std::move(on_drain)},
      record_callers_{std::move(record_callers)}
{
}

base::result<void> operator_gateway::start()
{
    net::http_server_options options;
    options.address = node_.settings.listen.address;
    options.port = node_.settings.listen.operator_port;
    options.max_body_bytes = max_rules_bytes;
    BOOST_OUTCOME_TRY(
        server, net::http_server::start(options, [this](const net::http_request& request,
                                                        const net::http_responder& responder) {
            handle(request, responder);
        }));
    server_ = std::move(server);
    return base::success();
}

void operator_gateway::handle(const net::http_request& request,
                              const net::http_responder& responder)
{
    const bool open =
        request.path == "/metrics" || request.path == "/healthz" || request.path == "/readyz";
    if (open) {
        handle_open(request, responder);
        return;
    }
    if (!has_key(request)) {
        responder.send(error_response(dispatch::outcome::rejected,
                                      {error_code::operator_key_invalid, "Authorization", "", ""}));
        return;
    }
    const auto path = net::split_path(request.path);
    const bool versioned = path.size() >= 2 && path[0] == "v1";
    const auto part = versioned ? path[1] : std::string_view{};
    const bool get = request.method == "GET";
    if (part == "status" && get) {
        responder.send(json_response(200, status()));
    } else if (part == "events" && get) {
        responder.send(json_response(200, events(request)));
    } else if (part == "fragmentation" && get) {
        jobs_.ask_scheduler(peer::scheduler_call::fragmentation, json::object(), responder);
    } else if (part == "drain" && request.method == "POST") {
        responder.send(json_response(202, {{"vm", node_.settings.vm.id}, {"leaving", true}}));
        on_drain_();
    } else if (part == "rules") {
        handle_rules(request, path, responder);
    } else if (part == "jobs") {
        handle_jobs(request, path, responder);
    } else {
        responder.send(
            error_response(dispatch::outcome::rejected,
                           {error_code::request_unknown_path,
                            fmt::format("{} {}", request.method, request.path), "", ""}));
    }
}

void operator_gateway::handle_open(const net::http_request& request,
                                   const net::http_responder& responder)
{
    if (request.path == "/metrics") {
        refresh_metrics();
        responder.send({.status = 200,
                        .body = node_.metrics->text(),
                        .content_type = "text/plain; version=0.0.4"});
        return;
    }
    const bool up = request.path == "/healthz" || node_.takes_work();
    responder.send(json_response(up ? 200 : 503, {{"ready", up}}));
}

void operator_gateway::handle_rules(const net::http_request& request,
                                    std::span<const std::string_view> path,
                                    const net::http_responder& responder)
{
    const auto what = path.size() == 3 ? path[2] : std::string_view{};
    if (path.size() == 2 && request.method == "POST") {
        rules_.apply(request.body, responder);
    } else if (path.size() == 2) {
        rules_.show(number_query(request, "version", 0), responder);
    } else if (what == "log") {
        rules_.show_log(number_query(request, "limit", 20), responder);
    } else if (what == "reach") {
        responder.send(json_response(200, rules_.reach(number_query(request, "version", 0))));
    } else {
        responder.send(
            error_response(dispatch::outcome::rejected,
                           {error_code::request_unknown_path, std::string{request.path}, "", ""}));
    }
}

void operator_gateway::handle_jobs(const net::http_request& request,
                                   std::span<const std::string_view> path,
                                   const net::http_responder& responder)
{
    if (path.size() == 2) {
        jobs_.ask_scheduler(peer::scheduler_call::list,
                            {{"state", request.query_value("state").value_or("")}}, responder);
    } else if (path.size() == 4 && path[3] == "why") {
        jobs_.ask_scheduler(peer::scheduler_call::why, {{"job", path[2]}}, responder);
    } else if (request.method == "DELETE") {
        jobs_.cancel(path[2], responder);
    } else {
        jobs_.show(path[2], responder);
    }
}

bool operator_gateway::has_key(const net::http_request& request) const
{
    const auto given = request.header("Authorization").value_or("");
    const auto expected = std::string{bearer} + node_.settings.operator_key;
    // The lengths may differ visibly; the contents are compared in constant time.
    return given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

json operator_gateway::status() const
{
    const auto scheduler = node_.scheduler.get();
    const auto requests = node_.dispatch.get();
    json members = json::array();
    for (const auto& member : *node_.members.get()) {
        members.push_back(member_body(member));
    }
    json workers = json::array();
    for (const auto& worker : scheduler->workers) {
        workers.push_back({{"id", worker.id},
                           {"state", worker.state},
                           {"free_accelerators", worker.free_accelerators}});
    }
    return {{"vm", node_.settings.vm.id},
            {"failure_domain", node_.settings.vm.failure_domain},
            {"ready", node_.takes_work()},
            {"leaving", node_.leaving.load()},
            {"rules_version", node_.current_rules()->version},
            {"rules_confirmed_ms_ago", rules_confirmed_ms_ago()},
            {"scheduler",
             {{"holder", scheduler->holder},
              {"epoch", scheduler->epoch},
              {"is_self", scheduler->is_self},
              {"active", scheduler->active}}},
            {"members", members},
            {"workers", workers},
            {"jobs",
             {{"queued", scheduler->counters.queued},
              {"starting", scheduler->counters.starting},
              {"running", scheduler->counters.running}}},
            {"requests", {{"in_flight", requests->in_flight}, {"queued", requests->queued}}}};
}

json operator_gateway::rules_confirmed_ms_ago() const
{
    const auto confirmed = node_.rules_confirmed_us.load();
    return confirmed == 0 ? json{} : json((base::wall_clock_us() - confirmed) / 1000);
}

json operator_gateway::events(const net::http_request& request) const
{
    const auto subject = request.query_value("subject");
    const auto page =
        node_.events->read_after(number_query(request, "after", 0),
                                 subject ? std::optional<std::string_view>{*subject} : std::nullopt,
                                 number_query(request, "limit", default_event_limit));
    json list = json::array();
    for (const auto& event : page.events) {
        list.push_back(events::to_json_value(event));
    }
    return {{"vm", node_.settings.vm.id}, {"events", list}, {"dropped", page.dropped}};
}

void operator_gateway::refresh_metrics() const
{
    const auto scheduler = node_.scheduler.get();
    const auto requests = node_.dispatch.get();
    auto& metrics = *node_.metrics;
    record_callers_(metrics);
    const auto& platform = node_.table->counters();
    metrics.set_gauge("poplarstile_requests_queued", static_cast<double>(requests->queued));
    metrics.set_gauge("poplarstile_requests_in_flight", static_cast<double>(requests->in_flight));
    metrics.set_gauge("poplarstile_scheduler_active", scheduler->active ? 1 : 0);
    metrics.set_gauge("poplarstile_scheduler_epoch", static_cast<double>(scheduler->epoch));
    metrics.set_gauge("poplarstile_jobs_queued", static_cast<double>(scheduler->counters.queued));
    metrics.set_gauge("poplarstile_jobs_running", static_cast<double>(scheduler->counters.running));
    metrics.set_gauge("poplarstile_rules_version",
                      static_cast<double>(node_.current_rules()->version));
    metrics.set_gauge("poplarstile_ready", node_.takes_work() ? 1 : 0);
    metrics.set_counter("poplarstile_platform_reads_total",
                        static_cast<double>(platform.reads.load()));
    metrics.set_counter("poplarstile_platform_transactions_total",
                        static_cast<double>(platform.transactions.load()));
    metrics.set_counter("poplarstile_platform_failures_total",
                        static_cast<double>(platform.failures.load()));
    metrics.set_counter("poplarstile_request_retries_total",
                        static_cast<double>(requests->retries));
    metrics.set_counter("poplarstile_request_hedges_total", static_cast<double>(requests->hedges));
    metrics.set_counter("poplarstile_late_answers_total",
                        static_cast<double>(requests->late_answers));
}

} // namespace poplarstile::daemon
