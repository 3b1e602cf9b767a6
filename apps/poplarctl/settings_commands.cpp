#include "poplarctl/commands.hpp"
#include "settings/settings_reference.hpp"
#include "settings/site_settings.hpp"
#include "settings/vm_settings.hpp"

#include <fmt/format.h>

#include <ostream>

namespace poplarstile::poplarctl
{

namespace
{

/// Writes every fault, or the VM whose settings have none.
template <class Checked>
exit_code report_check(const Checked& loaded, const output& streams)
{
    if (loaded.has_error()) {
        for (const auto& fault : loaded.error().errors) {
            report(fault, streams);
        }
        return exit_code::refused;
    }
    *streams.results << fmt::format("settings of {}, no faults\n", loaded.value().vm.id);
    return exit_code::ok;
}

} // namespace

exit_code run_settings_command(const command& wanted, const output& streams)
{
    if (wanted.action == verb::settings_reference) {
        *streams.results << settings::reference_page();
        return exit_code::ok;
    }
    const auto& path = wanted.operands.front();
    const auto text = settings::read_settings_file(path);
    if (text.has_value() && settings::is_site_settings(text.value())) {
        return report_check(settings::parse_site_settings(text.value()), streams);
    }
    return report_check(settings::load_settings(path), streams);
}

} // namespace poplarstile::poplarctl
