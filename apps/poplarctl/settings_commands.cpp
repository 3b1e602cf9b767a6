#include "poplarctl/commands.hpp"
#include "settings/settings_reference.hpp"
#include "settings/vm_settings.hpp"

#include <fmt/format.h>

#include <ostream>

namespace poplarstile::poplarctl
{

exit_code run_settings_command(const command& wanted, const output& streams)
{
    if (wanted.action == verb::settings_reference) {
        *streams.results << settings::reference_page();
        return exit_code::ok;
    }
    const auto loaded = settings::load_settings(wanted.operands.front());
    if (loaded.has_error()) {
        for (const auto& fault : loaded.error().errors) {
            report(fault, streams);
        }
        return exit_code::refused;
    }
    *streams.results << fmt::format("settings of {}, no faults\n", loaded.value().vm.id);
    return exit_code::ok;
}

} // namespace poplarstile::poplarctl
