#include "control/run_book.hpp"

#include <array>

namespace poplarstile::control
{

std::string_view name_of(stop_reason why)
{
    static constexpr std::array<std::string_view, 6> names{"none",        "cancelled", "reclaimed",
                                                           "gang_broken", "failed",    "moved"};
    return names.at(static_cast<std::size_t>(why));
}

bool belongs_to_present_life(const live_run& run)
{
    return run.listed && run.sends <= 1;
}

} // namespace poplarstile::control
