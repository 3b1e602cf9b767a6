#pragma once

#include "net/http_server.hpp"

#include <optional>

namespace poplarstile::net
{

/// Ends the service of a server whose callers keep their connections. It takes no new connections,
/// so that a caller knows that nothing of a refused request was sent, and answers on the open ones
/// until they are closed or no longer used.
class server_shutdown
{
public:
    explicit server_shutdown(http_server& server) : server_{server} {}

    /// The first call stops the server from accepting. True once it may end: no request is open,
    /// and either no connection is open or none has been used for a while. `now` is of any one
    /// clock.
    [[nodiscard]] bool may_end(base::time_point now);

private:
    http_server& server_;
    std::optional<base::time_point> stopped_accepting_at_{};
};

} // namespace poplarstile::net
