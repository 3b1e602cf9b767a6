#include "fleet/worker_orders.hpp"

#include <array>

namespace poplarstile::fleet
{

std::string_view name_of(order_outcome outcome)
{
    static constexpr std::array<std::string_view, 11> names{
        "accepted",    "fenced",     "outdated",  "late",       "no_room", "no_ticket",
        "unavailable", "other_life", "malformed", "unanswered", "not_sent"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace poplarstile::fleet
