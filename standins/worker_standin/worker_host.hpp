#pragma once

#include "net/http_server.hpp"
#include "standins/worker_standin/worker_service.hpp"

#include <map>
#include <memory>
#include <vector>

namespace poplarstile::standins::worker_standin
{

/// All workers of one process, each on its own port, and the control port.
class worker_host
{
public:
    /// Starts serving. Error: `listen_failed`.
    [[nodiscard]] static base::result<std::unique_ptr<worker_host>>
    start(const host_config& config);

    ~worker_host();
    worker_host(const worker_host&) = delete;
    worker_host& operator=(const worker_host&) = delete;

    /// Ports listened on, of the workers in the order of the settings.
    [[nodiscard]] std::vector<std::uint16_t> worker_ports() const;
    [[nodiscard]] std::uint16_t control_port() const;

private:
    worker_host();
    [[nodiscard]] base::result<void> add_worker(const worker_config& config,
                                                const host_config& host);
    [[nodiscard]] base::result<void> add_control(const host_config& host);
    [[nodiscard]] net::http_response control(const net::http_request& request);

    record_book records_;
    checkpoint_store checkpoints_;
    timer_thread timer_;
    std::map<std::string, std::unique_ptr<worker_service>, std::less<>> workers_;
    std::vector<std::unique_ptr<net::http_server>> servers_;
    std::unique_ptr<net::http_server> control_server_;
};

} // namespace poplarstile::standins::worker_standin
