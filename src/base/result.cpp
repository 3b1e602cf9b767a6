#include "base/result.hpp"

#include <fmt/format.h>

namespace poplarstile::base
{

std::string_view remedy_of(const error& failure)
{
    return failure.remedy.empty() ? entry_of(failure.code).remedy
                                  : std::string_view{failure.remedy};
}

std::string describe(const error& failure)
{
    const auto& entry = entry_of(failure.code);
    const auto place = failure.place.empty() ? std::string{} : " at " + failure.place;
    const std::string_view detail = failure.detail.empty() ? entry.meaning : failure.detail;
    return fmt::format("error {} {}{}: {}. Remedy: {}.", static_cast<unsigned>(failure.code),
                       entry.name, place, detail, remedy_of(failure));
}

} // namespace poplarstile::base
