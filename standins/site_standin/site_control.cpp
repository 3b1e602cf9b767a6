#include "standins/site_standin/site_control.hpp"

#include "standins/common/json_http.hpp"
#include "standins/site_standin/site_host.hpp"

namespace poplarstile::standins::site_standin
{
namespace
{

net::http_response outcome(const std::string& fault)
{
    return fault.empty() ? json_response(200, json::object())
                         : json_response(400, {{"error", fault}});
}

net::http_response apply(site_host& host, const std::string& path, const json& body)
{
    if (path == "/control/store") {
        return outcome(host.set_store_fate(body.value("vm", "*"),
                                           body.at("fate").get<std::string>(),
                                           body.value("only_writes", false)));
    }
    if (path == "/control/parts") {
        host.set_away_parts(body.at("away").get<std::set<std::string>>());
        return outcome({});
    }
    if (path == "/control/history") {
        host.forget_history();
        return outcome({});
    }
    if (path == "/control/worker") {
        const base::milliseconds serves_on{
            body.value("remaining_ms", std::int64_t{default_drain_time.count()})};
        return outcome(host.act_on_worker(body.at("worker").get<std::string>(),
                                          body.at("action").get<std::string>(), serves_on));
    }
    if (path == "/control/capacity") {
        return outcome(host.set_capacity(body.at("worker").get<std::string>(),
                                         body.at("percent").get<std::int64_t>()));
    }
    if (path == "/control/drain") {
        const auto domain = body.at("domain").get<std::string>();
        if (body.at("drained").get<bool>()) {
            host.drain_domain(domain, base::milliseconds{body.at("bound_ms").get<std::int64_t>()});
        } else {
            host.restore_domain(domain);
        }
        return outcome({});
    }
    if (path == "/control/configuration") {
        host.set_configuration(body.dump());
        return outcome({});
    }
    return json_response(404, {{"error", "unknown path"}});
}

} // namespace

net::http_response handle_control(site_host& host, const net::http_request& request)
{
    if (request.method == "GET") {
        return request.path == "/control/report" ? json_response(200, host.report())
                                                 : json_response(404, {{"error", "unknown path"}});
    }
    const auto body = parse_object(request.body);
    if (!body) {
        return outcome("not a JSON object");
    }
    try {
        return apply(host, request.path, *body);
    } catch (const std::exception& failure) {
        return outcome(failure.what());
    }
}

} // namespace poplarstile::standins::site_standin
