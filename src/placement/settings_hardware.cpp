#include "placement/settings_hardware.hpp"

#include <array>

namespace poplarstile::placement
{

topology hardware_of(const settings::vm_settings& settings)
{
    std::vector<worker_hardware> hardware;
    for (const auto& worker : settings.workers) {
        hardware.push_back({worker.id, worker.rack, worker.position, worker.accelerators});
    }
    return topology::create(hardware);
}

std::vector<base::error> check_guarantees(const rules::ruleset& rules,
                                          const settings::vm_settings& settings)
{
    const std::array<domain_hardware, 1> own{{{settings.vm.failure_domain, hardware_of(settings)}}};
    return check_guarantees(rules, own);
}

} // namespace poplarstile::placement
