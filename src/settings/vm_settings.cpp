#include "settings/vm_settings.hpp"

#include "settings/internal/consistency.hpp"
#include "settings/internal/reader.hpp"
#include "settings/site_settings.hpp"

#include <set>

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

/// Notes members that stand twice in one object; the parser itself keeps only one of them.
class duplicate_finder
{
public:
    using document = nlohmann::ordered_json;

    void on_event(document::parse_event_t event, const document& parsed)
    {
        switch (event) {
        case document::parse_event_t::object_start:
            open_.emplace_back();
            break;
        case document::parse_event_t::object_end:
            open_.pop_back();
            break;
        case document::parse_event_t::key:
            note_key(parsed.get<std::string>());
            break;
        default:
            break;
        }
    }

    internal::fault_list faults;

private:
    struct open_object {
        std::set<std::string> names;
        std::string current;
    };

    void note_key(const std::string& name)
    {
        auto& object = open_.back();
        object.current = name;
        if (!object.names.insert(name).second) {
            faults.push_back({base::error_code::settings_contradictory, path(),
                              "the member stands twice in one object", "keep one of the two"});
        }
    }

    [[nodiscard]] std::string path() const
    {
        std::string joined;
        for (const auto& object : open_) {
            joined += (joined.empty() ? "" : ".") + object.current;
        }
        return joined;
    }

    std::vector<open_object> open_;
};

} // namespace

settings_result parse_settings(std::string_view text)
{
    nlohmann::ordered_json document;
    duplicate_finder duplicates;
    try {
        document =
            nlohmann::ordered_json::parse(text, [&](int /*depth*/, auto event, const auto& parsed) {
                duplicates.on_event(event, parsed);
                return true;
            });
    } catch (const nlohmann::json::parse_error& failure) {
        return unreadable("byte " + std::to_string(failure.byte), failure.what());
    }
    if (!document.is_object()) {
        return unreadable("byte 1", "the text is not one JSON object");
    }
    auto faults = std::move(duplicates.faults);
    auto settings = internal::read_settings(document, faults);
    internal::check_consistency(settings, faults);
    if (!faults.empty()) {
        return settings_faults{std::move(faults)};
    }
    return settings;
}

settings_result load_settings(std::string_view path)
{
    BOOST_OUTCOME_TRY(text, read_settings_file(path));
    return parse_settings(text);
}

} // namespace poplarstile::settings
