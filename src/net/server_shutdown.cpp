#include "net/server_shutdown.hpp"

namespace poplarstile::net
{
namespace
{

/// A caller that has not used its connection for this long is not waited for.
constexpr base::milliseconds unused_for{300};

} // namespace

bool server_shutdown::may_end(base::time_point now)
{
    if (!stopped_accepting_at_) {
        stopped_accepting_at_ = now;
        server_.stop_accepting();
        return false;
    }
    if (server_.accepting() || server_.open_requests() > 0) {
        return false;
    }
    const bool unused =
        now - *stopped_accepting_at_ >= unused_for && server_.since_newest_request() >= unused_for;
    return unused || server_.open_connections() == 0;
}

} // namespace poplarstile::net
