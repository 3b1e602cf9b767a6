#include "standins/worker_standin/worker_host.hpp"

#include <utility>

namespace poplarstile::standins::worker_standin
{
namespace
{

constexpr std::size_t max_records = 2'000'000;
constexpr std::size_t max_connections_per_worker = 1'024;
constexpr std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
constexpr base::milliseconds idle_timeout{60'000};
constexpr base::milliseconds handle_timeout{30'000};

net::http_server_options server_options(const std::string& address, std::uint16_t port)
{
    return {.address = address,
            .port = port,
            .max_connections = max_connections_per_worker,
            .max_body_bytes = max_body_bytes,
            .read_timeout = idle_timeout,
            .handle_timeout = handle_timeout};
}

} // namespace

worker_host::worker_host() : records_{max_records} {}

worker_host::~worker_host()
{
    // Delayed answers refer to connections of the servers, so they go first.
    timer_.stop();
    control_server_.reset();
    servers_.clear();
}

base::result<std::unique_ptr<worker_host>> worker_host::start(const host_config& config)
{
    std::unique_ptr<worker_host> host{new worker_host{}};
    for (const auto& worker : config.workers) {
        BOOST_OUTCOME_TRY(host->add_worker(worker, config));
    }
    BOOST_OUTCOME_TRY(host->add_control(config));
    return host;
}

base::result<void> worker_host::add_worker(const worker_config& config, const host_config& host)
{
    const worker_service::shared_parts shared{records_, checkpoints_, timer_};
    auto service = std::make_unique<worker_service>(config, host.usage_lag, shared);
    auto* const raw = service.get();
    workers_.insert_or_assign(config.id, std::move(service));
    BOOST_OUTCOME_TRY(server, net::http_server::start(server_options(host.address, config.port),
                                                      [raw](const net::http_request& request,
                                                            const net::http_responder& responder) {
                                                          raw->handle(request, responder);
                                                      }));
    servers_.push_back(std::move(server));
    return base::success();
}

base::result<void> worker_host::add_control(const host_config& host)
{
    BOOST_OUTCOME_TRY(
        server, net::http_server::start(
                    server_options(host.address, host.control_port),
                    [this](const net::http_request& request, const net::http_responder& responder) {
                        try {
                            responder.send(control(request));
                        } catch (const json::exception& failure) {
                            responder.send(json_response(400, {{"error", failure.what()}}));
                        }
                    }));
    control_server_ = std::move(server);
    return base::success();
}

net::http_response worker_host::control(const net::http_request& request)
{
    if (request.path == "/healthz") {
        return json_response(200, {{"ready", true}, {"workers", workers_.size()}});
    }
    if (request.path == "/records") {
        return json_response(200, records_.to_json());
    }
    const auto parts = net::split_path(request.path);
    const bool names_worker = parts.size() == 3 && parts[0] == "control" && parts[1] == "workers";
    const auto worker = names_worker ? workers_.find(net::url_decode(parts[2])) : workers_.end();
    if (worker == workers_.end()) {
        return json_response(404, {{"error", "unknown path or worker"}});
    }
    const auto body = parse_object(request.body);
    if (!body) {
        return json_response(400, {{"error", "the body is not a JSON object"}});
    }
    return worker->second->set_faults(*body);
}

std::vector<std::uint16_t> worker_host::worker_ports() const
{
    std::vector<std::uint16_t> ports;
    for (const auto& server : servers_) {
        ports.push_back(server->port());
    }
    return ports;
}

std::uint16_t worker_host::control_port() const
{
    return control_server_->port();
}

} // namespace poplarstile::standins::worker_standin
