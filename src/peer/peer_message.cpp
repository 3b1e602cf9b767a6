#include "peer/peer_message.hpp"

namespace poplarstile::peer
{

std::string_view name_of(member_state state)
{
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unknown";
}

} // namespace poplarstile::peer
