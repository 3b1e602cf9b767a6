#pragma once

#include "settings/internal/reader.hpp"

/// Checks that members which are each right by themselves can hold together.
namespace poplarstile::settings::internal
{

/// Adds a `settings_contradictory` fault for each pair of members that can't both hold.
void check_consistency(const vm_settings& settings, fault_list& faults);

} // namespace poplarstile::settings::internal
