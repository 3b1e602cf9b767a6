#pragma once

#include "catalog/domain_drains.hpp"
#include "control/leader.hpp"

#include <string>
#include <string_view>

namespace poplarstile::daemon
{

/// Names of a VM in its metrics.
struct vm_labels {
    std::string_view vm{};
    std::string_view failure_domain{};
};

/// Metrics on the failure domains that the operator drains, made anew each time so that a restored
/// domain has none. Empty where no domain can be drained. `leading` is null on a VM that does not
/// lead, which knows no runs.
[[nodiscard]] std::string drain_metrics_text(const vm_labels& own,
                                             const catalog::domain_drains& drains,
                                             const control::leader* leading, base::time_point now);

} // namespace poplarstile::daemon
