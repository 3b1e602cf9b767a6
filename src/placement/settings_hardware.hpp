#pragma once

#include "placement/guarantees.hpp"
#include "settings/vm_settings.hpp"

namespace poplarstile::placement
{

/// The workers of the VM's failure domain as its settings list them.
[[nodiscard]] topology hardware_of(const settings::vm_settings& settings);

/// `check_guarantees` on the failure domain of these settings; for `rules::check_rules`.
[[nodiscard]] std::vector<base::error> check_guarantees(const rules::ruleset& rules,
                                                        const settings::vm_settings& settings);

} // namespace poplarstile::placement
