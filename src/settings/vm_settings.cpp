#include "settings/vm_settings.hpp"

#include "settings/internal/consistency.hpp"
#include "settings/internal/reader.hpp"

#include <fstream>
#include <sstream>

namespace poplarstile::settings
{
namespace
{

using settings_result = BOOST_OUTCOME_V2_NAMESPACE::checked<vm_settings, settings_faults>;

settings_result unreadable(std::string place, std::string detail)
{
    return settings_faults{{base::error{
        base::error_code::settings_unreadable, std::move(place), std::move(detail), {}}}};
}

} // namespace

settings_result parse_settings(std::string_view text)
{
    nlohmann::ordered_json document;
    try {
        document = nlohmann::ordered_json::parse(text);
    } catch (const nlohmann::json::parse_error& failure) {
        return unreadable("byte " + std::to_string(failure.byte), failure.what());
    }
    if (!document.is_object()) {
        return unreadable("byte 1", "the text is not one JSON object");
    }
    internal::fault_list faults;
    auto settings = internal::read_settings(document, faults);
    internal::check_consistency(settings, faults);
    if (!faults.empty()) {
        return settings_faults{std::move(faults)};
    }
    return settings;
}

settings_result load_settings(std::string_view path)
{
    std::ifstream file{std::string{path}};
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return unreadable(std::string{path}, "the file can't be read");
    }
    return parse_settings(text.str());
}

} // namespace poplarstile::settings
