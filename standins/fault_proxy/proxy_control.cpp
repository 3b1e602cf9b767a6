#include "standins/fault_proxy/proxy_control.hpp"

#include <utility>

namespace poplarstile::standins::fault_proxy
{
namespace
{

std::optional<link_rule> rule_of(const json& body)
{
    const auto kind = fault_named(body.at("fault").get<std::string>());
    if (!kind) {
        return std::nullopt;
    }
    return link_rule{.link = {body.value("source", "*"), body.value("target", "*")},
                     .fault = {*kind, base::milliseconds{body.value("delay_ms", std::int64_t{0})}}};
}

void set_fault(proxy& controlled, const net::http_request& request,
               const net::http_responder& responder)
{
    const auto body = parse_object(request.body);
    auto rule = body ? rule_of(*body) : std::nullopt;
    if (!rule) {
        responder.send(json_response(400, {{"error", "unknown fault or not a JSON object"}}));
        return;
    }
    controlled.set_fault(*std::move(rule),
                         [responder] { responder.send(json_response(200, json::object())); });
}

} // namespace

void handle_control(proxy& controlled, const net::http_request& request,
                    const net::http_responder& responder)
{
    if (request.path == "/healthz") {
        responder.send(json_response(200, {{"ready", true}}));
        return;
    }
    if (request.path != "/control/links") {
        responder.send(json_response(404, {{"error", "unknown path"}}));
        return;
    }
    try {
        if (request.method == "POST") {
            set_fault(controlled, request, responder);
        } else if (request.method == "DELETE") {
            controlled.heal([responder] { responder.send(json_response(200, json::object())); });
        } else {
            controlled.report(
                [responder](const json& links) { responder.send(json_response(200, links)); });
        }
    } catch (const json::exception& failure) {
        responder.send(json_response(400, {{"error", failure.what()}}));
    }
}

} // namespace poplarstile::standins::fault_proxy
