#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>

namespace poplarstile::standins::site_standin
{

/// What happens to calls, by its name on the control port.
template <class Fate>
struct named_fate {
    std::string_view name;
    Fate fate;
};

template <class Fates>
auto find_fate(const Fates& fates, const std::string& name)
{
    const auto found =
        std::ranges::find_if(fates, [&name](const auto& entry) { return entry.name == name; });
    return found == fates.end() ? std::nullopt : std::optional{found->fate};
}

} // namespace poplarstile::standins::site_standin
