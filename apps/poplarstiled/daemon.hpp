#pragma once

#include "caller_gateway.hpp"
#include "dispatch_duty.hpp"
#include "job_gateway.hpp"
#include "node.hpp"
#include "operator_gateway.hpp"
#include "peer_duty.hpp"
#include "peer_link.hpp"
#include "rules_duty.hpp"
#include "rules_gateway.hpp"
#include "scheduler_duty.hpp"

#include "net/http_server.hpp"

#include <atomic>
#include <memory>

namespace poplarstile::daemon
{

/// One entry VM: its duties, a thread each, and its three ports.
class vm_daemon
{
public:
    /// Starts everything. Errors: `listen_failed`, or a setting that a part refuses.
    [[nodiscard]] static base::result<std::unique_ptr<vm_daemon>>
    start(settings::vm_settings settings);

    ~vm_daemon();
    vm_daemon(const vm_daemon&) = delete;
    vm_daemon& operator=(const vm_daemon&) = delete;

    /// Begins to leave: not ready any more, peers told, scheduler lease handed over. Requests in
    /// flight go on. Calling it again changes nothing.
    void leave();

    /// True when this VM is leaving and may end: nothing is in flight, and callers send nothing
    /// more. Call it again until then.
    [[nodiscard]] bool drained();

    [[nodiscard]] bool leaving() const
    {
        return node_.leaving;
    }

private:
    explicit vm_daemon(settings::vm_settings settings);
    [[nodiscard]] base::result<void> start_parts();
    [[nodiscard]] base::result<void> start_peer_port();
    void handle_peer(const net::http_request& request, const net::http_responder& responder);

    node node_;
    std::unique_ptr<peer_link> link_;
    std::unique_ptr<dispatch_duty> dispatch_;
    std::unique_ptr<scheduler_duty> scheduler_;
    std::unique_ptr<peer_duty> peers_;
    std::unique_ptr<rules_duty> rules_;
    std::unique_ptr<rules_gateway> rules_gateway_;
    std::unique_ptr<job_gateway> jobs_;
    std::unique_ptr<net::http_server> peer_port_;
    std::unique_ptr<caller_gateway> callers_;
    std::unique_ptr<operator_gateway> operators_;
    base::time_point left_at_{};
};

} // namespace poplarstile::daemon
