#pragma once

#include "net/http_message.hpp"

namespace poplarstile::standins::site_standin
{

class site_host;

/// Answers one request of the control port; see docs/STANDINS.md.
[[nodiscard]] net::http_response handle_control(site_host& host, const net::http_request& request);

} // namespace poplarstile::standins::site_standin
