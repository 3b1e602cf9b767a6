#pragma once

#include "net/http_server.hpp"
#include "standins/fault_proxy/proxy.hpp"

namespace poplarstile::standins::fault_proxy
{

/// Answers one request of the control port; see docs/STANDINS.md.
void handle_control(proxy& controlled, const net::http_request& request,
                    const net::http_responder& responder);

} // namespace poplarstile::standins::fault_proxy
